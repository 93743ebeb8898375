import { setTimeout as sleep } from "node:timers/promises";
import { CallConnection } from "./callConnection.ts";
import type { CallRecord } from "./callRecord.ts";

/** A request, its headers and its record. */
interface PairedCall {
    record: CallRecord;
    headers: Readonly<Record<string, string>>;
}

/** Options of {@link sendCallPair}. */
interface CallPairOptions {
    /** Port of the node. */
    port: number;
    /** Open connections to the node that no request uses. The pair takes one of them, and leaves its own there if it stays open. */
    idle: CallConnection[];
    ahead: PairedCall;
    behind: PairedCall;
    /** Time from the one request to the other, in milliseconds. */
    delayMilliseconds: number;
    /** Time after the second request at which the caller gives up. */
    timeoutMilliseconds: number;
    /** Called when an answer, or the connection before it, has ended. Not called for a request that was not sent. */
    onEnded(record: CallRecord): void;
}

/**
 * Sends two requests over one kept connection, the second usually before the answer to the first has ended. The second is not sent if an answer
 * has said that the connection closes.
 */
export async function sendCallPair(options: CallPairOptions): Promise<void> {
    const { port, idle, ahead, behind, delayMilliseconds, timeoutMilliseconds } = options;
    const connection = takeOpen(idle) ?? await CallConnection.create(port);
    if (connection === undefined) {
        ahead.record.reason = "The node accepts no connection.";
        end(ahead, options);
        return;
    }
    const first = send(connection, ahead, options);
    await sleep(delayMilliseconds);
    const second = connection.isOpen() ? send(connection, behind, options) : undefined;
    const timer = setTimeout(() => connection.close(), timeoutMilliseconds);
    await Promise.all([first, second]);
    clearTimeout(timer);
    if (connection.isOpen()) {
        idle.push(connection);
    }
    else {
        connection.close();
    }
}

function takeOpen(idle: CallConnection[]): CallConnection | undefined {
    while (idle.length > 0) {
        const connection = idle.pop()!;
        if (connection.isOpen()) {
            return connection;
        }
    }
    return undefined;
}

async function send(connection: CallConnection, call: PairedCall, options: CallPairOptions): Promise<void> {
    call.record.sentAt = Date.now();
    await connection.send(call.record, call.headers);
    end(call, options);
}

function end({ record }: PairedCall, { onEnded }: CallPairOptions): void {
    record.endedAt = Date.now();
    onEnded(record);
}
