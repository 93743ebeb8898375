import type { Clock } from "../../src/process/clock.ts";
import type { LinkTable } from "../../src/request/chain/linkTable.ts";

/** Links that carry one message after the other each way, at their bandwidth, and delay them by their latency. */
export class LinkStandin {
    private readonly clock: Clock;
    private readonly links: LinkTable;
    private readonly busyUntil = new Map<string, number>();

    private constructor(clock: Clock, links: LinkTable) {
        this.clock = clock;
        this.links = links;
    }

    /** Creates links that are all idle. */
    static create(clock: Clock, links: LinkTable): LinkStandin {
        return new LinkStandin(clock, links);
    }

    /** Sends bytes and calls back on their arrival. */
    send(from: string, to: string, bytes: number, callback: () => void): void {
        const now = this.clock.getMonotonicTime();
        const link = this.links.getLink(from, to);
        const key = `${from}/${to}`;
        const sent = Math.max(now, this.busyUntil.get(key) ?? 0) + bytes / link.bytesPerMillisecond;
        this.busyUntil.set(key, sent);
        this.clock.setTimer(sent - now + link.latencyMilliseconds, callback);
    }
}
