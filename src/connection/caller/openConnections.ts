import type { Clock } from "../../process/clock.ts";
import type { EventLog } from "../../process/logging/eventLog.ts";
import { events } from "../../process/logging/events.ts";
import type { CallerConnection } from "./callerConnection.ts";
import { chooseConnectionToClose } from "./chooseConnectionToClose.ts";

/** Options of {@link OpenConnections}. */
interface OpenConnectionsOptions {
    clock: Pick<Clock, "getMonotonicTime">;
    log: EventLog;
    /** Maximum number of connections. One that is idle is closed for each further one. */
    maximumConnections: number;
}

/** The open connections of callers, of which there is a maximum number. */
export class OpenConnections {
    private readonly options: OpenConnectionsOptions;
    private readonly connections = new Set<CallerConnection>();

    private constructor(options: OpenConnectionsOptions) {
        this.options = options;
    }

    /** Creates an empty set. */
    static create({ clock, log, maximumConnections }: OpenConnectionsOptions): OpenConnections {
        return new OpenConnections({ clock, log, maximumConnections });
    }

    /** Adds a connection. */
    add(connection: CallerConnection): void {
        this.connections.add(connection);
    }

    /** Removes a connection that has closed. */
    remove(connection: CallerConnection): void {
        this.connections.delete(connection);
    }

    /** Lists the connections. */
    list(): Iterable<CallerConnection> {
        return this.connections;
    }

    /** Closes an idle connection if a new one exceeds the maximum, or the new one if no other is idle. */
    makeRoomFor(newest: CallerConnection): void {
        const { clock, log, maximumConnections } = this.options;
        if (this.connections.size <= maximumConnections) {
            return;
        }
        const chosen = chooseConnectionToClose(this.connections, newest);
        log.write(events.connectionClosedForAnother, {
            connections: this.connections.size,
            milliseconds: Math.round(clock.getMonotonicTime() - (chosen.getIdleStart() ?? chosen.openedAt)),
            hadRequests: chosen.getIdleStart() !== undefined,
            isNew: chosen === newest,
        });
        this.connections.delete(chosen);
        chosen.socket.destroy();
    }
}
