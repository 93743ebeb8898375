import type { IncomingMessage } from "node:http";
import type { CallerConnection } from "./callerConnection.ts";
import { ConnectionReading } from "./connectionReading.ts";
import { PauseReason } from "./pauseReason.ts";

/** Work of a request, in units of about a microsecond. */
const requestUnits = 80;
/** Work of a request that waits. */
const waitingUnits = 4;

/** Decides which requests of a connection are handled: some at the same time, and those of a turn of the event loop. */
export class RequestAdmission {
    private readonly maximumRequestsPerConnection: number;

    private constructor(maximumRequestsPerConnection: number) {
        this.maximumRequestsPerConnection = maximumRequestsPerConnection;
    }

    /**
     * Creates an admission.
     * @param maximumRequestsPerConnection - Requests of a connection that are handled at the same time.
     */
    static create(maximumRequestsPerConnection: number): RequestAdmission {
        return new RequestAdmission(maximumRequestsPerConnection);
    }

    /**
     * Handles a request now, or has it wait, and its connection unread, until earlier ones are answered.
     * @param connection - The request's connection.
     * @param request - The request.
     * @param arrivedAt - Monotonic time of its arrival, in milliseconds.
     * @param start - Handles it.
     * @returns Whether it is handled now.
     */
    admit(connection: CallerConnection, request: IncomingMessage, arrivedAt: number, start: () => void): boolean {
        const reading = ConnectionReading.of(connection.socket);
        if (connection.waiting.length === 0 && this.mayStart(connection)) {
            reading.noteWork(requestUnits);
            start();
            return true;
        }
        reading.noteWork(waitingUnits);
        reading.pause(PauseReason.Requests);
        connection.waiting.push({ request, arrivedAt, start });
        return false;
    }

    /** Handles the requests that need not wait any more. */
    startAllowed(connection: CallerConnection): void {
        while (connection.waiting.length > 0 && this.mayStart(connection)) {
            startNext(connection);
        }
    }

    /** Handles all requests that wait, because they are refused. */
    startAll(connection: CallerConnection): void {
        while (connection.waiting.length > 0) {
            startNext(connection);
        }
    }

    private mayStart({ exchanges, socket }: CallerConnection): boolean {
        return exchanges.size < this.maximumRequestsPerConnection && !ConnectionReading.of(socket).isTurnOver();
    }
}

/** Handles the next request that waits. */
function startNext(connection: CallerConnection): void {
    const reading = ConnectionReading.of(connection.socket);
    reading.noteWork(requestUnits);
    connection.waiting.shift()?.start();
    if (connection.waiting.length === 0) {
        reading.resume(PauseReason.Requests);
    }
}
