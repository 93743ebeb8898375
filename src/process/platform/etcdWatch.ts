import type { z } from "zod";
import { LineSplitter } from "../../connection/lineSplitter.ts";
import { readLimitedText } from "../../connection/readLimitedText.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import { CallEffect } from "./callEffect.ts";
import { classifyRefusal } from "./classifyRefusal.ts";
import { classifyThrownError } from "./classifyThrownError.ts";
import { etcdSchemas } from "./etcdSchemas.ts";
import { maximumValueBytes } from "./maximumValueBytes.ts";
import { type PlatformError, PlatformErrorKind } from "./platformError.ts";
import type { WatchHandle, WatchOptions } from "./platformStore.ts";
import type { PlatformTransport } from "./platformTransport.ts";

/** Maximum length of a line, which contains a value as base64 and its envelope. A longer line ends the watch. */
const maximumLineBytes = 4 * maximumValueBytes;
const okStatus = 200;

interface EtcdWatchOptions extends WatchOptions {
    transport: PlatformTransport;
    clock: Clock;
    /** Address of the service as `host:port`, for messages. */
    address: string;
    key: string;
    /** First revision of the key to report, or 0 to report changes from now on. */
    fromRevision: number;
    /** Time without an event or a progress notification after which the watch counts as broken, in milliseconds. */
    silenceLimitMilliseconds: number;
    /** Called once when the watch has ended for any reason, including {@link EtcdWatch.close}. */
    onEnded(): void;
}

/** A watch of one key over one streamed response. It ends on the first failure and reports it unless it was closed before. */
export class EtcdWatch implements WatchHandle {
    private readonly options: EtcdWatchOptions;
    private readonly abort = new AbortController();
    private silenceTimer: TimerHandle | undefined;
    private isEnded = false;

    private constructor(options: EtcdWatchOptions) {
        this.options = options;
    }

    /**
     * Starts a watch.
     * @param options - Key, first revision, timeout and callbacks.
     */
    static create(options: EtcdWatchOptions): EtcdWatch {
        const watch = new EtcdWatch(options);
        void watch.run();
        return watch;
    }

    /** Closes the watch. {@link WatchOptions.onClosed} is not called. */
    close(): void {
        this.end();
    }

    private async run(): Promise<void> {
        this.restartSilenceTimer();
        try {
            this.fail(await this.readStream());
        }
        catch (error) {
            this.fail(classifyThrownError(error, CallEffect.Read, this.options.address));
        }
    }

    private async readStream(): Promise<PlatformError> {
        const { key, fromRevision, transport } = this.options;
        const create = {
            key: Buffer.from(key, "utf8").toString("base64"),
            start_revision: String(fromRevision),
            progress_notify: true,
        };
        const response = await transport.openStream("/v3/watch", { create_request: create }, this.abort.signal);
        if (response.statusCode !== okStatus) {
            const text = await readLimitedText(response.body, maximumLineBytes);
            return classifyRefusal(response.statusCode, text, CallEffect.Read);
        }
        const lines: string[] = [];
        const splitter = LineSplitter.create({ maximumLineBytes, onLine: line => void lines.push(line) });
        for await (const chunk of response.body) {
            this.restartSilenceTimer();
            splitter.push(chunk as Buffer);
            for (const line of lines.splice(0)) {
                const failure = this.readLine(line);
                if (failure !== undefined) {
                    return failure;
                }
            }
        }
        return createNotDoneError("The platform ended the watch. Read the key again and start a new watch.");
    }

    private readLine(line: string): PlatformError | undefined {
        const { result } = etcdSchemas.watch.parse(JSON.parse(line));
        if (result.canceled) {
            return createNotDoneError(
                `The platform canceled the watch; its oldest revision is ${result.compact_revision}. `
                    + "Read the key again and start a new watch.",
            );
        }
        if (result.header.revision + 1 < this.options.fromRevision) {
            return createNotDoneError(
                "The platform's revision is lower than the first one to watch; the service may have been restored from "
                    + "an older state. Read the key again.",
            );
        }
        return this.deliver(result.events);
    }

    private deliver(events: z.infer<typeof etcdSchemas.watch>["result"]["events"]): PlatformError | undefined {
        for (const event of events) {
            if (this.isEnded) {
                return undefined;
            }
            if (event.type === "DELETE") {
                return createNotDoneError("The watched key was deleted. Read the key again and start a new watch.");
            }
            this.options.onValue(event.kv);
        }
        return undefined;
    }

    private restartSilenceTimer(): void {
        if (this.isEnded) {
            return;
        }
        this.silenceTimer?.cancel();
        const limit = this.options.silenceLimitMilliseconds;
        this.silenceTimer = this.options.clock.setTimer(limit, () => {
            this.options.transport.replaceConnections();
            this.fail(createNotDoneError(
                `The watch received nothing for ${limit} milliseconds. Read the key again and start a new watch; `
                    + "check that the service sends progress notifications more often.",
            ));
        });
    }

    private fail(reason: PlatformError): void {
        if (this.end()) {
            this.options.onClosed(reason);
        }
    }

    /** Ends the watch. Returns false if it has already ended. */
    private end(): boolean {
        if (this.isEnded) {
            return false;
        }
        this.isEnded = true;
        this.silenceTimer?.cancel();
        this.abort.abort(new Error("the watch was closed"));
        this.options.onEnded();
        return true;
    }
}

function createNotDoneError(message: string): PlatformError {
    return { kind: PlatformErrorKind.NotDone, message };
}
