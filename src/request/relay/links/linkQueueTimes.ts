import type { EngineModel } from "../../../version/routing/engineModel.ts";
import { decay } from "../endpoints/decay.ts";
import type { DataCentreLink } from "./dataCentreLink.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";
import { getTransferTime } from "./getTransferTime.ts";
import type { LinkDelays } from "./linkDelays.ts";

/** Half-life of the time for which the last stream queued at a link. */
const halfLifeMilliseconds = 4_000;

/**
 * Estimates for how long prompts queue at the links. The last stream counts by itself, since a node sends only one every few seconds
 * over a contended link and a moving average would follow a growing queue too late.
 */
export class LinkQueueTimes {
    private readonly delays: LinkDelays;
    private readonly lastTimes = new Map<string, { milliseconds: number; at: number; }>();

    private constructor(delays: LinkDelays) {
        this.delays = delays;
    }

    /** Creates estimates from the recently observed delays of first events. */
    static create(delays: LinkDelays): LinkQueueTimes {
        return new LinkQueueTimes(delays);
    }

    /** Records the time to the first event of a stream over links, on each of which its prompt takes a transfer time. */
    record(links: readonly DataCentreLink[], milliseconds: number, transferMilliseconds: number, now: number): void {
        const excess = milliseconds - this.delays.getUsualFirstEvent() - links.length * transferMilliseconds;
        for (const { from, to } of links) {
            const time = { milliseconds: Math.max(0, excess / links.length), at: now };
            this.lastTimes.set(formatDataCentreLink(from, to), time);
        }
    }

    /** Gets the time for which a prompt is expected to queue at a link, in milliseconds. */
    get(from: string, to: string, model: EngineModel, now: number): number {
        const last = this.lastTimes.get(formatDataCentreLink(from, to));
        const mean = this.delays.getDelay(from, to, now) - getTransferTime(model, model.typicalPromptTokens);
        return Math.max(
            0,
            mean,
            last === undefined ? 0 : decay(last.milliseconds, now - last.at, halfLifeMilliseconds),
        );
    }
}
