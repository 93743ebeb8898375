import type { AccountWindow } from "./accountWindow.ts";

/** Formats the most frequent reason with its count; empty if there is none. */
export function formatMostFrequent([most]: AccountWindow["lost"]): string {
    return most === undefined ? "" : `${most[1]} ${most[0]}`;
}
