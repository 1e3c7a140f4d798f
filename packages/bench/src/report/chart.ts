/**
 * Line charts as SVG.
 */

/** Named line of a chart. */
export type Series = { readonly name: string; readonly points: readonly (readonly [x: number, y: number])[] };

/** Line chart with linear axes. */
export type Chart = {
    readonly title: string;
    readonly xLabel: string;
    readonly yLabel: string;
    readonly series: readonly Series[];
};

const WIDTH = 900;
const HEIGHT = 260;
const MARGIN = 60;
const TICKS = 5;
/** Distinguishable with the common kinds of color blindness. */
const COLORS = ["#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000"];

const escapeText = (text: string) => text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");

/** Draws charts one below the other and returns the SVG document. */
export function drawChart(title: string, charts: readonly Chart[]): string {
    const height = charts.length * HEIGHT;
    const groups = charts.map((chart, index) =>
        `<g transform="translate(0 ${index * HEIGHT})">${drawSingleChart(chart)}</g>`
    );
    return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${height}" font-family="sans-serif" `
        + `font-size="11"><title>${escapeText(title)}</title><rect width="${WIDTH}" height="${height}" fill="white"/>`
        + `${groups.join("")}</svg>\n`;
}

function drawSingleChart(chart: Chart): string {
    const points = chart.series.flatMap(series => series.points);
    const xs = points.map(([x]) => x);
    const minimumX = Math.min(...xs, 0);
    const maximumX = Math.max(...xs, minimumX + 1);
    const maximumY = Math.max(...points.map(([, y]) => y), Number.MIN_VALUE);
    const toX = (x: number) => MARGIN + (x - minimumX) / (maximumX - minimumX) * (WIDTH - 2 * MARGIN);
    const toY = (y: number) => HEIGHT - MARGIN - y / maximumY * (HEIGHT - 2 * MARGIN);
    const text = (x: number, y: number, content: string, extra = "") =>
        `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" ${extra}>${escapeText(content)}</text>`;
    const ticks = Array.from({ length: TICKS + 1 }, (_, index) => index / TICKS).flatMap(fraction => {
        const x = minimumX + fraction * (maximumX - minimumX);
        const y = fraction * maximumY;
        return [
            text(toX(x), HEIGHT - MARGIN + 15, Number(x.toPrecision(3)).toString(), `text-anchor="middle"`),
            text(MARGIN - 6, toY(y) + 4, Number(y.toPrecision(3)).toString(), `text-anchor="end"`),
            `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${toY(y)}" y2="${toY(y)}" stroke="#dddddd"/>`,
        ];
    });
    const lines = chart.series.flatMap(({ name, points: linePoints }, index) => {
        const color = COLORS[index % COLORS.length]!;
        const path = linePoints.map(([x, y]) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`).join(" ");
        return [
            `<polyline points="${path}" fill="none" stroke="${color}" stroke-width="1.5"/>`,
            text(MARGIN + 140 * index, HEIGHT - 10, name, `fill="${color}"`),
        ];
    });
    return [
        text(MARGIN, 20, chart.title, `font-size="14"`),
        text(MARGIN, 40, chart.yLabel),
        text(WIDTH - MARGIN, HEIGHT - 28, chart.xLabel, `text-anchor="end"`),
        ...ticks,
        ...lines,
    ].join("");
}
