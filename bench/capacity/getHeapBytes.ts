import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const collections = 3;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Gets the bytes of the objects that are still in use. */
export function getHeapBytes(): number {
    for (let collection = 0; collection < collections; collection++) {
        collectGarbage();
    }
    return process.memoryUsage().heapUsed;
}
