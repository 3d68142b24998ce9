/** Plots as SVG. */
import { init, use } from 'echarts/core'
import { LineChart } from 'echarts/charts'
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components'
import { SVGRenderer } from 'echarts/renderers'

use([LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer])

/** One line of a plot. */
export interface PlotLine {
  readonly name: string
  readonly points: readonly (readonly [number, number])[]
}

/** A plot of lines. */
export interface LinePlot {
  readonly title: string
  readonly horizontal: string
  readonly vertical: string
  readonly lines: readonly PlotLine[]
}

const WIDTH = 900
const HEIGHT = 480

/** @returns the plot as an SVG document */
export function svgOf (plot: LinePlot): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    backgroundColor: '#ffffff',
    title: { text: plot.title, left: 'center' },
    legend: { bottom: 0, type: 'plain' },
    grid: { left: 70, right: 30, top: 50, bottom: 90 },
    xAxis: { type: 'value', name: plot.horizontal, nameLocation: 'middle', nameGap: 28 },
    yAxis: { type: 'value', name: plot.vertical, nameLocation: 'middle', nameGap: 50 },
    series: plot.lines.map((line) => ({ type: 'line', name: line.name, showSymbol: false, data: line.points.map((point) => [...point]) }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

/**
 * @param values - any values
 * @returns the share of them that is at most so large, from the median on
 */
export function distributionOf (values: readonly number[]): [number, number][] {
  const sorted = Float64Array.from(values).sort()
  const points: [number, number][] = []
  for (let place = 50; place <= 99.8; place += 0.2) {
    const index = Math.min(sorted.length - 1, Math.ceil(place / 100 * sorted.length) - 1)
    points.push([Math.round(place * 10) / 10, Math.round((sorted[index] ?? 0) / 10) / 100])
  }
  return points
}
