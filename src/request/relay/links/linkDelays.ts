import { decay } from "../endpoints/decay.ts";
import { FirstEventTimes } from "../endpoints/firstEventTimes.ts";
import { formatDataCentreLink } from "./formatDataCentreLink.ts";
import { listDataCentreLinks } from "./listDataCentreLinks.ts";

/** Measured delay of the link from one data centre to another. */
interface LinkRecord {
    /** Moving average of the time that the link adds to a first event, in milliseconds. */
    delayMilliseconds: number;
    updatedAt: number;
}

/** Weight of the newest stream in the moving averages. */
const newestWeight = 0.25;
/** Half-life of a delay without new streams, after which a slow link is tried again. */
const halfLifeMilliseconds = 4_000;

/**
 * Tracks how much later first events come over each link between data centres than within one. This detects slow links
 * whatever the cause, also where neither the engines' figures nor the utilization of the links show it.
 */
export class LinkDelays {
    private readonly records = new Map<string, LinkRecord>();
    /** Moving average of the time to the first event within a data centre, in milliseconds. */
    private millisecondsWithinDataCentre: number | undefined;
    private readonly firstEventsWithinDataCentre = FirstEventTimes.create();

    private constructor() {}

    /** Creates an instance in which no link adds a delay. */
    static create(): LinkDelays {
        return new LinkDelays();
    }

    /**
     * Records the time to the first event of a stream, or the time waited so far if it hasn't come.
     * @param dataCentres - Data centres of the chain's stages, in order.
     * @param milliseconds - Time since the request was sent.
     * @param now - Monotonic time in milliseconds.
     */
    recordFirstEvent(dataCentres: readonly string[], milliseconds: number, now: number): void {
        const links = listDataCentreLinks(dataCentres).map(({ from, to }) => formatDataCentreLink(from, to));
        if (links.length === 0) {
            const average = this.millisecondsWithinDataCentre ?? milliseconds;
            this.millisecondsWithinDataCentre = average + newestWeight * (milliseconds - average);
            this.firstEventsWithinDataCentre.record(milliseconds);
            return;
        }
        const delay = Math.max(0, milliseconds - (this.millisecondsWithinDataCentre ?? milliseconds)) / links.length;
        for (const link of links) {
            const average = this.getDelayOfLink(link, now);
            this.records.set(link, { delayMilliseconds: average + newestWeight * (delay - average), updatedAt: now });
        }
    }

    /** Gets the time that a link adds to a first event, in milliseconds. */
    getDelay(from: string, to: string, now: number): number {
        return this.getDelayOfLink(formatDataCentreLink(from, to), now);
    }

    /** Gets the time within which about nine in ten first events arrive over chains that use no link, in milliseconds. */
    getUsualFirstEvent(): number {
        return this.firstEventsWithinDataCentre.getExpected();
    }

    private getDelayOfLink(link: string, now: number): number {
        const record = this.records.get(link);
        if (record === undefined) {
            return 0;
        }
        return decay(record.delayMilliseconds, now - record.updatedAt, halfLifeMilliseconds);
    }
}
