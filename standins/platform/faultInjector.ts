import type { Socket } from "node:net";
import type { Faults } from "./faults.ts";
import type { FaultsChange } from "./faultsChange.ts";

/** Stores the active faults and the silenced connections. */
export class FaultInjector {
    private faults: Faults = { down: false, hang: false, delayMilliseconds: 0, loseAnswers: 0 };
    private readonly openSockets = new Set<Socket>();
    private readonly silentSockets = new WeakSet<Socket>();

    private constructor() {
    }

    /** Creates an injector without faults. */
    static create(): FaultInjector {
        return new FaultInjector();
    }

    /** Gets a copy of the active faults. */
    getFaults(): Faults {
        return { ...this.faults };
    }

    /** Sets the faults given in a change; the others keep their values. */
    change(change: FaultsChange): void {
        const { down, hang, delayMilliseconds, loseAnswers } = change;
        this.faults = {
            down: down ?? this.faults.down,
            hang: hang ?? this.faults.hang,
            delayMilliseconds: delayMilliseconds ?? this.faults.delayMilliseconds,
            loseAnswers: loseAnswers ?? this.faults.loseAnswers,
        };
        if (change.silenceOpenConnections === true || hang === true) {
            this.silenceOpenSockets();
        }
    }

    /** Tracks a connection until it closes. */
    addSocket(socket: Socket): void {
        this.openSockets.add(socket);
        socket.on("close", () => this.openSockets.delete(socket));
    }

    /** Gets if nothing may be sent on a connection. */
    isSilent(socket: Socket | null): boolean {
        return this.faults.hang || (socket !== null && this.silentSockets.has(socket));
    }

    /** Gets if the current response must be lost, and decrements the number of remaining responses to lose. */
    tryConsumeLostAnswer(): boolean {
        if (this.faults.loseAnswers === 0) {
            return false;
        }
        this.faults.loseAnswers--;
        return true;
    }

    private silenceOpenSockets(): void {
        for (const socket of this.openSockets) {
            this.silentSockets.add(socket);
        }
    }
}
