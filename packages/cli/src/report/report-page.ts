/** Renders the report of a run as one self-contained HTML page with plots. */
import { BarChart, LineChart } from 'echarts/charts'
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components'
import { init, use } from 'echarts/core'
import { SVGRenderer } from 'echarts/renderers'
import type { RunReport } from './run-report.js'
import { reportText } from './report-text.js'

use([BarChart, LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer])

const WIDTH = 1_000
const HEIGHT = 320

interface Series {
  readonly name: string
  readonly type: 'bar' | 'line'
  readonly stack?: string
  readonly values: readonly number[]
}

/** @returns the HTML page of a report */
export function reportPage (report: RunReport): string {
  const { bySecond } = report
  const endings = (['answered', 'refused', 'cut', 'left'] as const).map((ending): Series => ({
    name: ending, type: 'bar', stack: 'endings', values: bySecond.map((second) => second.endings[ending])
  }))
  const loads: Series[] = [
    { name: 'asked', type: 'line', values: bySecond.map(({ loadsAsked }) => loadsAsked) },
    { name: 'ordered', type: 'line', values: bySecond.map(({ loadsOrdered }) => loadsOrdered) }
  ]
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>limpetwinch report</title></head><body>',
    plot('Requests by how they ended, in each second', bySecond.length, endings),
    plot('Loads asked for and ordered, in each second', bySecond.length, loads),
    `<pre>${escaped(reportText(report))}</pre>`,
    '</body></html>'
  ].join('\n')
}

function plot (title: string, seconds: number, series: readonly Series[]): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { top: 'bottom' },
    xAxis: { type: 'category', name: 's', data: Array.from({ length: seconds }, (_, second) => second) },
    yAxis: { type: 'value' },
    series: series.map(({ values, ...rest }) => ({ ...rest, data: values }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

/** Escapes HTML; reasons and routes in log lines can contain any text. */
function escaped (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
}
