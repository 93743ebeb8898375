const width = 620;
const height = 300;
const left = 60;
const top = 40;
const plotWidth = 330;
const plotHeight = 210;
const colours = ["#888888", "#c26b00", "#7a3fa0", "#1f5fbf", "#0b7a3b"];

/** One line of a plot. */
interface PlotSeries {
    name: string;
    points: readonly (readonly [x: number, y: number])[];
}

/** A plot with one or more lines. */
export interface Plot {
    title: string;
    /** Label of the horizontal axis. */
    horizontal: string;
    /** Label of the vertical axis. */
    vertical: string;
    maximumX: number;
    maximumY: number;
    series: readonly PlotSeries[];
}

/** Draws plots below each other as an SVG document. */
export function drawPlots(plots: readonly Plot[]): string {
    const body = plots.map((plot, index) => `<g transform="translate(0 ${index * height})">${drawPlot(plot)}</g>`);
    return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height * plots.length}" `
        + `font-family="sans-serif" font-size="11">\n<rect width="100%" height="100%" fill="white"/>\n`
        + `${body.join("\n")}\n</svg>\n`;
}

function drawPlot(plot: Plot): string {
    const getX = (x: number) => left + x / plot.maximumX * plotWidth;
    const getY = (y: number) => top + plotHeight * (1 - Math.min(1, y / plot.maximumY));
    const ticks = [0, 0.25, 0.5, 0.75, 1].map(part =>
        drawText(getX(part * plot.maximumX), top + plotHeight + 15, String(part * plot.maximumX), "middle")
        + drawText(left - 5, getY(part * plot.maximumY) + 4, String(part * plot.maximumY), "end")
        + `<path d="M${left} ${getY(part * plot.maximumY)}h${plotWidth}" stroke="#dddddd"/>`
    );
    const lines = plot.series.map(({ name, points }, index) => {
        const colour = colours[index % colours.length];
        const path = points.map(([x, y]) => `${getX(x).toFixed(1)},${getY(y).toFixed(1)}`).join(" ");
        const legendY = top + 12 + index * 18;
        const legendX = left + plotWidth + 15;
        return `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="2"/>`
            + `<path d="M${legendX} ${legendY - 4}h18" stroke="${colour}" stroke-width="2"/>`
            + drawText(legendX + 24, legendY, name, "start");
    });
    return drawText(left, 20, plot.title, "start")
        + drawText(left, 34, plot.vertical, "start")
        + drawText(left + plotWidth, top + plotHeight + 32, plot.horizontal, "end")
        + ticks.join("") + lines.join("");
}

function drawText(x: number, y: number, text: string, anchor: string): string {
    return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${text}</text>`;
}
