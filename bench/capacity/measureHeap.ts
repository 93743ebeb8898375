import { getHeapBytes } from "./getHeapBytes.ts";

const retained: unknown[] = [];

/**
 * Measures the heap memory that an object retains.
 * @param create - Creates the object and returns it.
 * @param copies - Number of copies to measure together. Small objects need more, since the size of the heap varies by
 * about 100 KB on its own.
 * @returns Bytes per copy.
 */
export function measureHeap(create: () => unknown, copies: number): number {
    retained.push(create());
    const before = getHeapBytes();
    for (let copy = 0; copy < copies; copy++) {
        retained.push(create());
    }
    const bytes = getHeapBytes() - before;
    retained.length = 0;
    return bytes / copies;
}
