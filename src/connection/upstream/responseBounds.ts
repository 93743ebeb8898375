import type { BodyBounds } from "./bodyBounds.ts";

/**
 * Maximum size of all that is not the body: informational responses, empty lines, header fields, chunk sizes with their extensions, and
 * trailers. The HTTP client itself bounds header fields alone.
 */
const maximumOverheadBytes = 64 * 1024;
/** Additional overhead for each byte of the body. A chunk of one byte has five bytes of overhead. */
const overheadPerBodyByte = 8;
/** Maximum time from the first byte of a response to the end of its head: longer than a sound endpoint stands still. */
const maximumHeadMilliseconds = 2_500;

/**
 * Bounds what an endpoint may send in response to one request, in bytes and in time, so that bytes that never become a response
 * neither fill the memory of a node nor keep a request waiting. Times are monotonic, in milliseconds.
 */
export class ResponseBounds {
    private readonly bytesBefore: number;
    private bodyBytes = 0;
    private body: BodyBounds | undefined;
    private deadline: number | undefined;

    private constructor(bytesBefore: number) {
        this.bytesBefore = bytesBefore;
    }

    /**
     * Creates the bounds of a response of which nothing was received.
     * @param bytesBefore - Bytes that were received on the connection before.
     */
    static create(bytesBefore: number): ResponseBounds {
        return new ResponseBounds(bytesBefore);
    }

    /** Records that bytes have arrived. The first ones start the time for the head. */
    noteArrival(now: number): void {
        if (this.body === undefined) {
            this.deadline ??= now + maximumHeadMilliseconds;
        }
    }

    /** Records the head, and the bounds of the body that follows. */
    noteHead(body: BodyBounds, now: number): void {
        this.body = body;
        this.deadline = body.maximumMilliseconds === Infinity ? undefined : now + body.maximumMilliseconds;
    }

    /** Records bytes of the body. */
    noteBody(bytes: number): void {
        this.bodyBytes += bytes;
    }

    /** Gets the time by which the head or the body must be complete; undefined if there is none. */
    getDeadline(): number | undefined {
        return this.deadline;
    }

    /**
     * Finds what makes the response invalid.
     * @param bytes - Bytes that were received on the connection so far and were parsed.
     * @param now - The current time.
     * @returns The reason, as the end of a sentence; undefined if it is within its bounds.
     */
    findViolation(bytes: number, now: number): string | undefined {
        const overhead = bytes - this.bytesBefore - this.bodyBytes;
        if (overhead > maximumOverheadBytes + overheadPerBodyByte * this.bodyBytes) {
            return `more than ${maximumOverheadBytes} bytes came that belong to no body`;
        }
        const { maximumBytes = Infinity } = this.body ?? {};
        if (this.bodyBytes > maximumBytes) {
            return `its body is longer than ${maximumBytes} bytes`;
        }
        if (this.deadline !== undefined && now >= this.deadline) {
            return `its ${this.body === undefined ? "head" : "body"} was not complete in time`;
        }
        return undefined;
    }
}
