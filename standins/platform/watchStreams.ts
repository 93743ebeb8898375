import type { ServerResponse } from "node:http";
import type { Clock, TimerHandle } from "../../src/process/clock.ts";
import { createHeader } from "./createHeader.ts";
import { createRangePredicate } from "./createRangePredicate.ts";
import { etcdRequestSchemas } from "./etcdRequestSchemas.ts";
import { formatKeyRecord } from "./formatKeyRecord.ts";
import type { KeyEvent } from "./keyEvent.ts";
import type { KeyValueState } from "./keyValueState.ts";

interface WatchStream {
    response: ServerResponse;
    isInRange: (key: string) => boolean;
    startRevision: number;
    hasProgressNotices: boolean;
}

interface WatchStreamsOptions {
    clock: Clock;
    /** Interval between progress notifications, in milliseconds. */
    progressMilliseconds: number;
    /** Gets if a stream may not send anything because its connection is silent. */
    isSilent(response: ServerResponse): boolean;
}

/** Open watches. Each watch is a streamed response with one JSON value per line. */
export class WatchStreams {
    private readonly options: WatchStreamsOptions;
    private readonly streams = new Set<WatchStream>();
    private progressTimer: TimerHandle | undefined;

    private constructor(options: WatchStreamsOptions) {
        this.options = options;
    }

    static create(options: WatchStreamsOptions): WatchStreams {
        return new WatchStreams(options);
    }

    /** Gets the number of open watches. */
    getCount(): number {
        return this.streams.size;
    }

    /**
     * Opens a watch and sends the requested past changes.
     * @param response - Response on which the events are streamed.
     */
    open(body: unknown, response: ServerResponse, state: KeyValueState): void {
        const create = etcdRequestSchemas.watch.parse(body).create_request;
        const stream: WatchStream = {
            response,
            isInRange: createRangePredicate(create.key, create.range_end),
            startRevision: create.start_revision || state.getRevision() + 1,
            hasProgressNotices: create.progress_notify,
        };
        response.writeHead(200, { "content-type": "application/json" });
        this.send(stream, { header: createHeader(state.getRevision()), created: true });
        const compacted = state.getCompactedRevision();
        if (stream.startRevision <= compacted) {
            this.cancel(stream, state.getRevision(), compacted);
            return;
        }
        this.streams.add(stream);
        response.on("close", () => this.streams.delete(stream));
        this.sendEvents(stream, state.getEventsSince(stream.startRevision), state.getRevision());
        this.startProgressTimer(state);
    }

    /** Sends the changes of one revision to the watches of the changed keys. */
    publish(events: readonly KeyEvent[], revision: number): void {
        for (const stream of this.streams) {
            this.sendEvents(stream, events, revision);
        }
    }

    /** Destroys the connections of all watches. */
    destroyAll(): void {
        for (const stream of this.streams) {
            stream.response.destroy();
        }
        this.streams.clear();
    }

    /** Destroys all watches and stops the timer. */
    close(): void {
        this.destroyAll();
        this.progressTimer?.cancel();
    }

    private cancel(stream: WatchStream, revision: number, compacted: number): void {
        this.send(stream, { header: createHeader(revision), canceled: true, compact_revision: String(compacted) });
        stream.response.end();
    }

    private sendEvents(stream: WatchStream, events: readonly KeyEvent[], revision: number): void {
        const wanted = events.filter(({ record }) =>
            record.modRevision >= stream.startRevision && stream.isInRange(record.key)
        );
        if (wanted.length === 0) {
            return;
        }
        const formatted = wanted.map(({ type, record }) => ({
            type: type === "PUT" ? undefined : type,
            kv: formatKeyRecord(record),
        }));
        this.send(stream, { header: createHeader(revision), events: formatted });
    }

    private startProgressTimer(state: KeyValueState): void {
        this.progressTimer ??= this.options.clock.setTimer(this.options.progressMilliseconds, () => {
            for (const stream of this.streams) {
                if (stream.hasProgressNotices) {
                    this.send(stream, { header: createHeader(state.getRevision()) });
                }
            }
            this.progressTimer = undefined;
            this.startProgressTimer(state);
        });
    }

    private send(stream: WatchStream, result: object): void {
        if (!this.options.isSilent(stream.response)) {
            stream.response.write(`${JSON.stringify({ result })}\n`);
        }
    }
}
