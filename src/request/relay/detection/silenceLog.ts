import type { Clock } from "../../../process/clock.ts";
import type { EventLog } from "../../../process/logging/eventLog.ts";
import { events } from "../../../process/logging/events.ts";
import type { EndpointHealth } from "../endpoints/endpointHealth.ts";

/** Options of a {@link SilenceLog}. */
interface SilenceLogOptions {
    clock: Pick<Clock, "getMonotonicTime">;
    health: Pick<EndpointHealth, "getLastAliveTime">;
    log: EventLog;
}

/** A silence of an endpoint that is not known to have ended. */
interface Silence {
    /** Monotonic time in milliseconds at which the endpoint was last heard. */
    since: number;
    /** Monotonic time in milliseconds at which it was found silent. */
    foundAt: number;
}

/** An endpoint that is heard again after this time has probably restarted. */
const maximumSilenceMilliseconds = 10_000;

/** Logs how long endpoints were silent that did not answer and are heard again. Together with the lost streams this shows what a silence cost. */
export class SilenceLog {
    private readonly options: SilenceLogOptions;
    /** By endpoint id. */
    private readonly silences = new Map<string, Silence>();

    private constructor(options: SilenceLogOptions) {
        this.options = options;
    }

    /** Creates a log without silences. */
    static create(options: SilenceLogOptions): SilenceLog {
        return new SilenceLog(options);
    }

    /**
     * Records that an endpoint does not answer.
     * @param since - Monotonic time in milliseconds at which it was last heard.
     */
    noteSilent(endpointId: string, since: number): void {
        if (!this.silences.has(endpointId)) {
            this.silences.set(endpointId, { since, foundAt: this.options.clock.getMonotonicTime() });
        }
    }

    /** Records that an endpoint has answered. */
    noteHeard(endpointId: string): void {
        const silence = this.silences.get(endpointId);
        if (silence !== undefined) {
            this.end(endpointId, silence, this.options.clock.getMonotonicTime());
        }
    }

    /** Looks for endpoints of which an event has arrived since. */
    review(): void {
        const now = this.options.clock.getMonotonicTime();
        for (const [endpointId, silence] of this.silences) {
            const aliveAt = this.options.health.getLastAliveTime(endpointId);
            if (aliveAt > silence.foundAt) {
                this.end(endpointId, silence, aliveAt);
            }
            else if (now - silence.since > maximumSilenceMilliseconds) {
                this.silences.delete(endpointId);
            }
        }
    }

    private end(endpointId: string, { since }: Silence, heardAt: number): void {
        this.silences.delete(endpointId);
        this.options.log.write(events.endpointHeardAgain, {
            endpoint: endpointId,
            silentMilliseconds: Math.round(heardAt - since),
        });
    }
}
