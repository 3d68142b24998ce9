/** Renders line plots as SVG. */
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

/** A line plot with its axis titles. */
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
 * @param values - durations, milliseconds
 * @returns points from the 50th to the 99.8th percentile: the percentile, and the value at it in seconds
 */
export function distributionOf (values: readonly number[]): [number, number][] {
  const sorted = Float64Array.from(values).sort()
  const points: [number, number][] = []
  for (let percentile = 50; percentile <= 99.8; percentile += 0.2) {
    const index = Math.min(sorted.length - 1, Math.ceil(percentile / 100 * sorted.length) - 1)
    points.push([Math.round(percentile * 10) / 10, Math.round((sorted[index] ?? 0) / 10) / 100])
  }
  return points
}
