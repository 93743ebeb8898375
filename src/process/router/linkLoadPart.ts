import { create } from "@bufbuild/protobuf";
import { formatDataCentreLink } from "../../request/relay/links/formatDataCentreLink.ts";
import type { LinkAdmission } from "../../request/relay/links/linkAdmission.ts";
import { LinkLoadRecordSchema, type NodeState } from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { PeerStatePart } from "./peerStatePart.ts";

/** Exchanges the loads of the links between data centres with the peers. */
export class LinkLoadPart implements PeerStatePart {
    private readonly links: LinkAdmission;
    private readonly metrics: Pick<Metrics, "linkLoadBitsPerSecond">;
    private readonly measured = new Map<string, { from: string; to: string; }>();

    private constructor(links: LinkAdmission, metrics: Pick<Metrics, "linkLoadBitsPerSecond">) {
        this.links = links;
        this.metrics = metrics;
    }

    /** Creates the part. */
    static create(links: LinkAdmission, metrics: Pick<Metrics, "linkLoadBitsPerSecond">): LinkLoadPart {
        return new LinkLoadPart(links, metrics);
    }

    /** Creates the records of the links that this node has needed recently. */
    createRecords(now: number): Pick<NodeState, "linkLoads"> {
        const reports = this.links.createReports(now);
        this.updateMetric(reports);
        return {
            linkLoads: reports.map(({ from, to, bitsPerSecond, waiting, longestWaitMilliseconds }) =>
                create(LinkLoadRecordSchema, {
                    from,
                    to,
                    bitsPerSecond,
                    waiting,
                    longestWait: Math.round(longestWaitMilliseconds),
                })
            ),
        };
    }

    /** Applies a peer's records. A message without records shows that the peer needs no link. */
    applyRecords({ sender, demand, linkLoads }: NodeState, now: number): void {
        if (sender === undefined) {
            return;
        }
        const reports = linkLoads.map(({ from, to, bitsPerSecond, waiting, longestWait }) => ({
            from,
            to,
            bitsPerSecond,
            waiting,
            longestWaitMilliseconds: longestWait,
        }));
        this.links.applyReports(sender.nodeId, demand, reports, now);
    }

    private updateMetric(reports: readonly { from: string; to: string; bitsPerSecond: number; }[]): void {
        for (const link of this.measured.values()) {
            this.metrics.linkLoadBitsPerSecond.set(link, 0);
        }
        this.measured.clear();
        for (const { from, to, bitsPerSecond } of reports) {
            this.measured.set(formatDataCentreLink(from, to), { from, to });
            this.metrics.linkLoadBitsPerSecond.set({ from, to }, bitsPerSecond);
        }
    }
}
