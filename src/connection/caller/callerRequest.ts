import { IncomingMessage } from "node:http";
import { GarbageCollector } from "../../process/memory/garbageCollector.ts";
import { ConnectionReading } from "./connectionReading.ts";

const collector = GarbageCollector.ofProcess;
/** Work of one chunk of a body, in units of about a microsecond. */
const chunkUnits = 1;
const bytesPerUnit = 2_048;

/** A caller's request. The work of its body is noted, whether that is kept or discarded. */
export class CallerRequest extends IncomingMessage {
    /** Receives a chunk of the body from the parser. */
    override push(chunk: Buffer | null): boolean {
        if (chunk !== null) {
            collector.noteBuffer(chunk.length);
            ConnectionReading.of(this.socket).noteWork(chunkUnits + chunk.length / bytesPerUnit);
        }
        return super.push(chunk);
    }
}
