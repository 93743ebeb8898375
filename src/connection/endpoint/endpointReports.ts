import type { MessageInitShape } from "@bufbuild/protobuf";
import type { EndpointRecordSchema } from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";

/** An endpoint record: the state and load of one endpoint as one node observed them, in the form that is sent to peers. */
export type EndpointReport = MessageInitShape<typeof EndpointRecordSchema> & { endpoint: string; sequence: bigint; };

/** A report that is still to be sent. */
interface QueuedReport {
    report: EndpointReport;
    /** Number of messages that still have to include the report. */
    remainingTransmissions: number;
    /** Whether the report is a change of state, which is sent before refreshes. */
    isChange: boolean;
}

/** Upper bound of the encoded size of one record with names of common length, without its layer ranges. */
const estimatedReportBytes = 96;
const bytesPerRange = 24;
const servingState = "serving";
/**
 * Factor of the number of messages that include a report. This number grows with the logarithm of the number of nodes,
 * as in SWIM.
 */
const transmissionFactor = 4;

/**
 * The endpoint reports that nodes spread by gossip. A new report is sent a limited number of times, and a newer one of
 * the same endpoint replaces it. Sequence numbers are the wall-clock time of the observation in milliseconds.
 */
export class EndpointReports {
    private readonly latest = new Map<string, EndpointReport>();
    private readonly queued = new Map<string, QueuedReport>();
    private readonly getNodeCount: () => number;

    private constructor(getNodeCount: () => number) {
        this.getNodeCount = getNodeCount;
    }

    /** @param getNodeCount - Gets the number of nodes that are alive. */
    static create(getNodeCount: () => number): EndpointReports {
        return new EndpointReports(getNodeCount);
    }

    /**
     * Adds a report of this node or a peer, if it is newer than the last one of its endpoint.
     * @returns Whether the report was newer.
     */
    add(report: EndpointReport): boolean {
        const known = this.latest.get(report.endpoint);
        if (known !== undefined && known.sequence >= report.sequence) {
            return false;
        }
        this.latest.set(report.endpoint, report);
        const remainingTransmissions = transmissionFactor * (1 + Math.ceil(Math.log2(this.getNodeCount() + 1)));
        // An endpoint without reports is treated as serving.
        const isChange = (known?.state ?? servingState) !== report.state
            || this.queued.get(report.endpoint)?.isChange === true;
        this.queued.set(report.endpoint, { report, remainingTransmissions, isChange });
        return true;
    }

    /**
     * Gets the reports for one message: changes of state first, then those with the most remaining transmissions.
     * @param budgetBytes - Maximum size of the reports.
     */
    collect(budgetBytes: number): EndpointReport[] {
        const sorted = [...this.queued.values()].sort(compareUrgency);
        const collected: EndpointReport[] = [];
        let remainingBytes = budgetBytes;
        for (const queued of sorted) {
            remainingBytes -= estimatedReportBytes + bytesPerRange * (queued.report.layers?.length ?? 0);
            if (remainingBytes < 0) {
                break;
            }
            collected.push(queued.report);
            queued.remainingTransmissions -= 1;
            if (queued.remainingTransmissions === 0) {
                this.queued.delete(queued.report.endpoint);
            }
        }
        return collected;
    }
}

function compareUrgency(left: QueuedReport, right: QueuedReport): number {
    if (left.isChange !== right.isChange) {
        return left.isChange ? -1 : 1;
    }
    return right.remainingTransmissions - left.remainingTransmissions;
}
