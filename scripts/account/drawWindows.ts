import type { AccountWindow } from "./accountWindow.ts";

const barWidth = 16;
const height = 200;
const labelHeight = 20;

/** Creates an SVG chart with a bar for each window: requests in time at the bottom, the others above. */
export function drawWindows(windows: readonly AccountWindow[]): string {
    const maximumCount = Math.max(1, ...windows.map(({ asked }) => asked));
    const bars = windows.map(({ from, asked, inTime }, index) => {
        const [totalHeight, inTimeHeight] = [asked, inTime].map(count => Math.round(count / maximumCount * height));
        const left = index * barWidth;
        return [
            `<rect x="${left}" y="${height - totalHeight!}" width="${barWidth - 2}" height="${
                totalHeight! - inTimeHeight!
            }" fill="#c33"/>`,
            `<rect x="${left}" y="${height - inTimeHeight!}" width="${
                barWidth - 2
            }" height="${inTimeHeight}" fill="#4a4"/>`,
            `<text x="${left}" y="${height + labelHeight - 6}" font-size="9">${from}</text>`,
        ].join("");
    });
    const size = `width="${windows.length * barWidth}" height="${height + labelHeight}"`;
    return `<svg xmlns="http://www.w3.org/2000/svg" ${size}>${bars.join("")}</svg>\n`;
}
