import type { Clock } from "../../src/process/clock.ts";
import type { LinkTable } from "../../src/request/chain/linkTable.ts";

/**
 * Stand-in for the links between data centres. In each direction, a link sends one message at a time at its bandwidth
 * and delivers it after its latency.
 */
export class LinkStandin {
    private readonly clock: Clock;
    private readonly links: LinkTable;
    private readonly busyUntil = new Map<string, number>();

    private constructor(clock: Clock, links: LinkTable) {
        this.clock = clock;
        this.links = links;
    }

    /** Creates idle links. */
    static create(clock: Clock, links: LinkTable): LinkStandin {
        return new LinkStandin(clock, links);
    }

    /** Sends a number of bytes and calls back when they arrive. */
    send(from: string, to: string, bytes: number, callback: () => void): void {
        const now = this.clock.getMonotonicTime();
        const link = this.links.getLink(from, to);
        const key = `${from}/${to}`;
        const sentAt = Math.max(now, this.busyUntil.get(key) ?? 0) + bytes / link.bytesPerMillisecond;
        this.busyUntil.set(key, sentAt);
        this.clock.setTimer(sentAt - now + link.latencyMilliseconds, callback);
    }
}
