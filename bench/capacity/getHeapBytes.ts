import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const collections = 3;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Collects garbage and gets the size of the heap in use, in bytes. */
export function getHeapBytes(): number {
    for (let collection = 0; collection < collections; collection++) {
        collectGarbage();
    }
    return process.memoryUsage().heapUsed;
}
