import type { Socket } from "node:net";
import type { PacedReader } from "../../process/loop/pacedReader.ts";
import { ReadPacer } from "../../process/loop/readPacer.ts";
import { PauseReason } from "./pauseReason.ts";

const pacer = ReadPacer.ofProcess;
const readings = new WeakMap<Socket, ConnectionReading>();

/** Decides whether a caller's connection is read: only while there is no reason to pause it. */
export class ConnectionReading implements PacedReader {
    private readonly socket: Socket;
    private readonly pauses = new Set<PauseReason>();
    private onTurn: (() => void) | undefined;

    private constructor(socket: Socket) {
        this.socket = socket;
        const resume = socket.resume.bind(socket);
        // Node.js resumes connections for reasons of its own, such as a body that is consumed.
        socket.resume = () => this.pauses.size > 0 ? socket : resume();
    }

    /** Gets the reading of a connection. */
    static of(socket: Socket): ConnectionReading {
        const known = readings.get(socket);
        if (known !== undefined) {
            return known;
        }
        const reading = new ConnectionReading(socket);
        readings.set(socket, reading);
        pacer.add(reading);
        socket.once("close", () => pacer.remove(reading));
        return reading;
    }

    /** Checks if the connection had its share of this turn of the event loop. */
    isTurnOver(): boolean {
        return this.pauses.has(PauseReason.Turn);
    }

    /** Sets the callback for the begin of the connection's next turn. */
    setTurnCallback(onTurn: () => void): void {
        this.onTurn = onTurn;
    }

    /** Notes work that reading from the connection has caused, in units of about a microsecond. */
    noteWork(units: number): void {
        pacer.note(this, units);
    }

    /** Stops reading. A part that was read already is still parsed. */
    pause(reason: PauseReason): void {
        this.pauses.add(reason);
        this.socket.pause();
    }

    /** Ends a reason to pause. */
    resume(reason: PauseReason): void {
        if (this.pauses.delete(reason) && this.pauses.size === 0) {
            this.socket.resume();
        }
    }

    /** Pauses the connection until its next turn. */
    pauseTurn(): void {
        this.pause(PauseReason.Turn);
    }

    /** Begins the next turn of the connection. */
    resumeTurn(): void {
        this.pauses.delete(PauseReason.Turn);
        // It may use up the turn again. A connection that is resumed and paused at once would be read.
        this.onTurn?.();
        if (this.pauses.size === 0) {
            this.socket.resume();
        }
    }
}
