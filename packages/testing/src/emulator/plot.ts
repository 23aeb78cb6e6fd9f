/**
 * A line plot as SVG text, for experiments.
 */

/** Values of one line, one for each step. */
export interface PlotSeries {
    readonly name: string;
    readonly values: readonly number[];
}

export interface PlotOptions {
    readonly title: string;
    /** Places on the horizontal axis. */
    readonly steps: readonly number[];
    readonly series: readonly PlotSeries[];
}

const width = 640;
const height = 400;
const margin = 50;
const colors = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910"];

/** Returns the plot of values from 0 to 1. */
export function plotLines(options: PlotOptions): string {
    const first = Math.min(...options.steps);
    const last = Math.max(...options.steps);
    const x = (step: number) => margin + (step - first) / Math.max(1e-9, last - first) * (width - 2 * margin);
    const y = (value: number) => height - margin - value * (height - 2 * margin);
    const lines = options.series.map(({ name, values }, index) => {
        const color = colors[index % colors.length];
        const points = values.map((value, step) => `${x(options.steps[step]).toFixed(1)},${y(value).toFixed(1)}`);
        return `<polyline fill="none" stroke="${color}" stroke-width="2" points="${points.join(" ")}"/>`
            + `<text x="${width - margin - 110}" y="${margin + 16 * index}" fill="${color}">${name}</text>`;
    });
    const ticks = options.steps.map(step => `<text x="${x(step)}" y="${height - margin + 18}">${step}</text>`);
    const levels = [0, 0.5, 1].map(value => `<text x="15" y="${y(value)}">${value}</text>`);
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
        `<text x="${margin}" y="25" font-size="15">${options.title}</text>`,
        `<path d="M${margin},${margin} V${height - margin} H${width - margin}" fill="none" stroke="#333"/>`,
        ...ticks,
        ...levels,
        ...lines,
        "</svg>\n",
    ].join("\n");
}
