import { Err, Ok, type Result } from "../../../result.ts";
import type { Frame } from "./frame.ts";
import { FrameKind } from "./frameKind.ts";
import { frameLayout } from "./frameLayout.ts";

const kinds: ReadonlySet<number> = new Set(Object.values(FrameKind));
const emptyBytes = Buffer.alloc(0);

/** Parses the bytes of a connection into frames. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private bufferedBytes = 0;

    private constructor() {}

    /** Creates a reader without buffered bytes. */
    static create(): FrameReader {
        return new FrameReader();
    }

    /**
     * Adds received bytes.
     * @returns The frames that are complete now, or an error. After an error, the connection can't be parsed any
     * further.
     */
    push(chunk: Buffer): Result<Frame[], string> {
        this.chunks.push(chunk);
        this.bufferedBytes += chunk.length;
        const frames: Frame[] = [];
        for (
            let size = this.getNextSize();
            size !== undefined && this.bufferedBytes >= size;
            size = this.getNextSize()
        ) {
            if (size > frameLayout.maximumBytes || size < frameLayout.methodOffset) {
                return Err(`A frame has an invalid size of ${size} bytes.`);
            }
            const frame = decodeFrame(this.takeBytes(size));
            if (frame === undefined) {
                return Err("A frame has an unknown kind, or ends within its method name.");
            }
            frames.push(frame);
        }
        const isTooLong = (this.getNextSize() ?? 0) > frameLayout.maximumBytes;
        return isTooLong ? Err("A frame exceeds the maximum size.") : Ok(frames);
    }

    /**
     * Gets the size of the next frame including its length field, or undefined if that has not been received
     * completely.
     */
    private getNextSize(): number | undefined {
        if (this.bufferedBytes < frameLayout.lengthBytes) {
            return undefined;
        }
        if (this.chunks[0]!.length < frameLayout.lengthBytes) {
            this.chunks = [Buffer.concat(this.chunks)];
        }
        return this.chunks[0]!.readUInt32BE(0) + frameLayout.lengthBytes;
    }

    private takeBytes(size: number): Buffer {
        const bytes = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
        const rest = size === bytes.length ? emptyBytes : bytes.subarray(size);
        this.chunks = rest.length === 0 ? [] : [rest];
        this.bufferedBytes = rest.length;
        return bytes.subarray(0, size);
    }
}

function decodeFrame(bytes: Buffer): Frame | undefined {
    const { callOffset, kindOffset, methodLengthOffset, methodOffset } = frameLayout;
    const kind = bytes.readUInt8(kindOffset);
    const payloadOffset = methodOffset + bytes.readUInt8(methodLengthOffset);
    if (!kinds.has(kind) || payloadOffset > bytes.length) {
        return undefined;
    }
    return {
        callId: bytes.readUInt32BE(callOffset),
        kind: kind as FrameKind,
        method: bytes.toString("latin1", methodOffset, payloadOffset),
        payload: bytes.subarray(payloadOffset),
    };
}
