import type { AccountWindow } from "./accountWindow.ts";

const barWidth = 16;
const height = 200;
const labelHeight = 20;

/** Draws a bar for each window: in time below, the rest above. Returns an SVG image. */
export function drawWindows(windows: readonly AccountWindow[]): string {
    const most = Math.max(1, ...windows.map(({ asked }) => asked));
    const bars = windows.map(({ from, asked, inTime }, index) => {
        const [full, good] = [asked, inTime].map(count => Math.round(count / most * height));
        const left = index * barWidth;
        return [
            `<rect x="${left}" y="${height - full!}" width="${barWidth - 2}" height="${full! - good!}" fill="#c33"/>`,
            `<rect x="${left}" y="${height - good!}" width="${barWidth - 2}" height="${good}" fill="#4a4"/>`,
            `<text x="${left}" y="${height + labelHeight - 6}" font-size="9">${from}</text>`,
        ].join("");
    });
    const size = `width="${windows.length * barWidth}" height="${height + labelHeight}"`;
    return `<svg xmlns="http://www.w3.org/2000/svg" ${size}>${bars.join("")}</svg>\n`;
}
