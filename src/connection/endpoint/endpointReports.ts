import type { MessageInitShape } from "@bufbuild/protobuf";
import type { EndpointRecordSchema } from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";

/** An endpoint record as it is sent. */
export type EndpointReport = MessageInitShape<typeof EndpointRecordSchema> & { endpoint: string; sequence: bigint; };

/** A record that still travels. */
interface TravellingReport {
    report: EndpointReport;
    /** Messages that it still rides on. */
    transmissions: number;
    /** Whether it tells a change of state, which goes before the refreshes. */
    isChange: boolean;
}

/** Upper bound of the bytes that one record takes on the wire, names of common length included. */
const estimatedReportBytes = 96;
const bytesPerRange = 24;
const servingState = "serving";
/** As in SWIM's dissemination: a change rides on a few messages a node, growing with the logarithm of the nodes. */
const transmissionFactor = 4;

/**
 * The endpoint records that travel between nodes. A record that is new here is passed on a bounded number of times; a newer
 * one of the same endpoint takes its place. Sequence numbers are wall-clock milliseconds of the observation.
 */
export class EndpointReports {
    private readonly latest = new Map<string, EndpointReport>();
    private readonly travelling = new Map<string, TravellingReport>();
    private readonly getNodeCount: () => number;

    private constructor(getNodeCount: () => number) {
        this.getNodeCount = getNodeCount;
    }

    /** @param getNodeCount - Gets the number of live nodes. */
    static create(getNodeCount: () => number): EndpointReports {
        return new EndpointReports(getNodeCount);
    }

    /**
     * Takes a report of this node or a peer, if it is newer than the last one of its endpoint.
     * @returns Whether it was new.
     */
    add(report: EndpointReport): boolean {
        const known = this.latest.get(report.endpoint);
        if (known !== undefined && known.sequence >= report.sequence) {
            return false;
        }
        this.latest.set(report.endpoint, report);
        const transmissions = transmissionFactor * (1 + Math.ceil(Math.log2(this.getNodeCount() + 1)));
        // What nobody has told of is taken to be serving.
        const isChange = (known?.state ?? servingState) !== report.state
            || this.travelling.get(report.endpoint)?.isChange === true;
        this.travelling.set(report.endpoint, { report, transmissions, isChange });
        return true;
    }

    /**
     * Gets the records for one message: changes of state first, then those with the most transmissions left.
     * @param budgetBytes - Most bytes that they may take.
     */
    collect(budgetBytes: number): EndpointReport[] {
        const waiting = [...this.travelling.values()].sort(compareUrgency);
        const collected: EndpointReport[] = [];
        let remainingBytes = budgetBytes;
        for (const travelling of waiting) {
            remainingBytes -= estimatedReportBytes + bytesPerRange * (travelling.report.layers?.length ?? 0);
            if (remainingBytes < 0) {
                break;
            }
            collected.push(travelling.report);
            travelling.transmissions -= 1;
            if (travelling.transmissions === 0) {
                this.travelling.delete(travelling.report.endpoint);
            }
        }
        return collected;
    }
}

function compareUrgency(left: TravellingReport, right: TravellingReport): number {
    if (left.isChange !== right.isChange) {
        return left.isChange ? -1 : 1;
    }
    return right.transmissions - left.transmissions;
}
