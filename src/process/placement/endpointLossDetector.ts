/** Evidence of one node that an endpoint is gone. Times are monotonic, in milliseconds. */
interface Evidence {
    firstAt: number;
    lastAt: number;
}

/** The nodes whose evidence counts. */
interface ReporterSituation {
    /** Whether this node's own evidence counts, because it reaches most endpoints. */
    isReliable: boolean;
    /** Number of other live nodes. */
    peers: number;
    /** Number of other live nodes that reach most endpoints. */
    reachingPeers: number;
}

/** An endpoint that was found lost or alive. */
interface LossChange {
    endpointId: string;
    isLost: boolean;
    /** Number of nodes with current evidence. */
    reporters: number;
    /** Age of the oldest and the newest evidence, in milliseconds. */
    oldestAge: number;
    newestAge: number;
}

/** An endpoint that is lost by evidence. */
interface FoundLoss {
    endpointId: string;
    /** Ids of the nodes with evidence of the last seconds; "self" for this one. */
    reporters: string[];
    /** Time since the last evidence that counted, in milliseconds. */
    ageMilliseconds: number;
}

/** Evidence that is older doesn't count toward finding an endpoint lost. */
const evidenceTtlMilliseconds = 1_500;
/** A node without peers takes its own evidence alone once it is this old. */
const soleEvidenceMilliseconds = 1_000;
/** Nodes whose evidence is needed. One alone may have lost its link to the endpoint. */
const neededReporters = 2;
/** If a larger fraction of a service's endpoints seems lost, the network is taken as the cause. */
const maximumLostFraction = 1 / 3;
/**
 * Time after the last evidence for which an endpoint counts as lost. Its record ends sooner if it is gone, and requests, which avoid it,
 * bring no new evidence in the meantime.
 */
const lossMilliseconds = 6_000;
/** Most endpoints that a node reports to its peers. */
const maximumReports = 32;
/** Name under which this node's own evidence is kept. */
const ownReporter = "";

/**
 * Finds from the evidence of this node and its peers which endpoints are lost. Handles crashes of several endpoints at once, whose records
 * end one by one up to 5 s later, until when their layers counted as held. A response ends a loss at once.
 */
export class EndpointLossDetector {
    /** Evidence by reporter, by endpoint. */
    private readonly evidence = new Map<string, Map<string, Evidence>>();
    /** Latest known time of a response by each endpoint, other than those that `getAliveTime` knows of. */
    private readonly respondedAt = new Map<string, number>();
    private readonly getAliveTime: (endpointId: string) => number;
    /** Endpoints that were found lost, with the time of the last evidence. */
    private readonly found = new Map<string, number>();

    private constructor(getAliveTime: (endpointId: string) => number) {
        this.getAliveTime = getAliveTime;
    }

    /**
     * Creates an instance without evidence.
     * @param getAliveTime - Gets the monotonic time in milliseconds of the last answer or event that this node got from an endpoint.
     */
    static create(getAliveTime: (endpointId: string) => number): EndpointLossDetector {
        return new EndpointLossDetector(getAliveTime);
    }

    /**
     * Records that a connection of this node to an endpoint was refused or not answered, or that the first stage of a chain named it as
     * the one that stalls.
     * @returns Whether peers should be told at once, because there was no such evidence before.
     */
    addEvidence(endpointId: string, now: number): boolean {
        const reports = this.evidence.get(endpointId);
        const own = reports?.get(ownReporter);
        const isNew = own === undefined || now - own.lastAt > evidenceTtlMilliseconds;
        this.setEvidence(endpointId, ownReporter, { firstAt: isNew ? now : own.firstAt, lastAt: now });
        return isNew;
    }

    /** Records that this node or a peer got a response from an endpoint. */
    addResponse(endpointId: string, at: number): void {
        this.respondedAt.set(endpointId, Math.max(at, this.respondedAt.get(endpointId) ?? -Infinity));
    }

    /** Replaces the evidence of a peer. */
    setPeerEvidence(nodeId: string, reports: readonly { endpointId: string; age: number; }[], now: number): void {
        if (reports.length === 0 && this.evidence.size === 0) {
            return;
        }
        const reported = new Map(reports.map(({ endpointId, age }) => [endpointId, now - age]));
        for (const [endpointId, reporters] of this.evidence) {
            if (!reported.has(endpointId)) {
                reporters.delete(nodeId);
            }
        }
        for (const [endpointId, at] of reported) {
            const firstAt = this.evidence.get(endpointId)?.get(nodeId)?.firstAt ?? at;
            this.setEvidence(endpointId, nodeId, { firstAt, lastAt: at });
        }
    }

    /** Lists the endpoints of which this node itself has current evidence, the newest first. */
    listOwnEvidence(now: number): { endpointId: string; age: number; }[] {
        const reports: { endpointId: string; age: number; }[] = [];
        for (const [endpointId, reporters] of this.evidence) {
            const own = reporters.get(ownReporter);
            if (own !== undefined && this.isCurrent(endpointId, own, now)) {
                reports.push({ endpointId, age: now - own.lastAt });
            }
        }
        return reports.sort((left, right) => left.age - right.age).slice(0, maximumReports);
    }

    /** Checks if there is any evidence, so that {@link update} must be called as time passes. */
    hasEvidence(): boolean {
        return this.evidence.size > 0;
    }

    /** Finds the endpoints that are lost or no longer so, from the evidence at a time. */
    update(situation: ReporterSituation, now: number): LossChange[] {
        const changes: LossChange[] = [];
        for (const [endpointId, reporters] of this.evidence) {
            for (const [reporter, { lastAt }] of reporters) {
                if (now - lastAt > lossMilliseconds) {
                    reporters.delete(reporter);
                }
            }
            const current = [...reporters].filter(([reporter, evidence]) =>
                (reporter !== ownReporter || situation.isReliable) && this.isCurrent(endpointId, evidence, now)
            );
            const wasLost = this.found.has(endpointId);
            if (isEnough(current, situation, now)) {
                this.found.set(endpointId, Math.max(...current.map(([, { lastAt }]) => lastAt)));
            }
            const lastEvidenceAt = this.found.get(endpointId) ?? -Infinity;
            if (this.getResponseTime(endpointId) > lastEvidenceAt || now - lastEvidenceAt > lossMilliseconds) {
                this.found.delete(endpointId);
            }
            const isLost = this.found.has(endpointId);
            if (isLost !== wasLost) {
                const ages = current.map(([, { lastAt }]) => now - lastAt);
                const [oldestAge, newestAge] = ages.length === 0 ? [0, 0] : [Math.max(...ages), Math.min(...ages)];
                changes.push({ endpointId, isLost, reporters: current.length, oldestAge, newestAge });
            }
            if (reporters.size === 0 && !isLost) {
                this.evidence.delete(endpointId);
            }
        }
        return changes;
    }

    /**
     * Gets those of a service's endpoints that are lost, as of the last update. None if they are too many, so that the records in the store
     * decide.
     * @param endpointIds - Ids of the registered endpoints of the service.
     */
    getLostEndpoints(endpointIds: readonly string[]): ReadonlySet<string> {
        const lost = endpointIds.filter(endpointId => this.found.has(endpointId));
        return new Set(lost.length <= endpointIds.length * maximumLostFraction ? lost : []);
    }

    /** Removes endpoints that are no longer registered. */
    retain(endpointIds: ReadonlySet<string>): void {
        for (const endpointId of [...this.evidence.keys(), ...this.respondedAt.keys()]) {
            if (!endpointIds.has(endpointId)) {
                this.remove(endpointId);
            }
        }
    }

    /** Lists the endpoints that were found lost, with the nodes that have evidence and the time since the last evidence. */
    listFound(now: number): FoundLoss[] {
        return [...this.found].map(([endpointId, lastAt]) => ({
            endpointId,
            reporters: [...this.evidence.get(endpointId)?.keys() ?? []].map(reporter =>
                reporter === ownReporter ? "self" : reporter
            ),
            ageMilliseconds: Math.round(now - lastAt),
        }));
    }

    /** Counts the endpoints that were found lost, whichever service they belong to. */
    countLost(): number {
        return this.found.size;
    }

    private setEvidence(endpointId: string, reporter: string, evidence: Evidence): void {
        const reporters = this.evidence.get(endpointId) ?? new Map<string, Evidence>();
        reporters.set(reporter, evidence);
        this.evidence.set(endpointId, reporters);
    }

    private isCurrent(endpointId: string, { lastAt }: Evidence, now: number): boolean {
        return now - lastAt <= evidenceTtlMilliseconds && lastAt >= this.getResponseTime(endpointId);
    }

    private getResponseTime(endpointId: string): number {
        return Math.max(this.respondedAt.get(endpointId) ?? -Infinity, this.getAliveTime(endpointId));
    }

    private remove(endpointId: string): void {
        this.evidence.delete(endpointId);
        this.respondedAt.delete(endpointId);
        this.found.delete(endpointId);
    }
}

function isEnough(
    current: readonly [string, Evidence][],
    { peers, reachingPeers, isReliable }: ReporterSituation,
    now: number,
): boolean {
    if (current.length >= neededReporters) {
        return true;
    }
    const own = current.find(([reporter]) => reporter === ownReporter)?.[1];
    if (peers === 0) {
        return own !== undefined && now - own.firstAt >= soleEvidenceMilliseconds;
    }
    // One reporter is enough if it is the only node that reaches endpoints, be it this one or a peer.
    const reachingNodes = reachingPeers + Number(isReliable);
    return current.length === 1 && reachingNodes === 1;
}
