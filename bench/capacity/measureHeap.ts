import { getHeapBytes } from "./getHeapBytes.ts";

const held: unknown[] = [];

/**
 * Measures the memory that one of several like things holds.
 * @param create - Creates one and returns it.
 * @param copies - How many are held at the same time; more for small things, as the heap moves by some 100 KB of itself.
 * @returns Bytes for each.
 */
export function measureHeap(create: () => unknown, copies: number): number {
    held.push(create());
    const before = getHeapBytes();
    for (let copy = 0; copy < copies; copy++) {
        held.push(create());
    }
    const bytes = getHeapBytes() - before;
    held.length = 0;
    return bytes / copies;
}
