import { create } from "@bufbuild/protobuf";
import {
    type FetchRequest,
    type FetchResponse,
    FetchResponseSchema,
    type SectionChanges,
    type SectionFrontier,
} from "../../wire/generated/foxlead/router/v1/router_pb.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { RecordSection } from "../replica/recordSection.ts";
import type { RouterPeers } from "./routerPeers.ts";
import { shouldFetch } from "./shouldFetch.ts";

/** Options of {@link ChangeFetching}. */
interface ChangeFetchingOptions {
    sections: readonly RecordSection[];
    dataCentre: string;
    peers: RouterPeers;
    clock: Clock;
    log: EventLog;
    /** Whether this node brings news into its data centre, so that few copies cross. */
    isHub(): boolean;
    /** Called with the monotonic time at which this node's copy is now known to have been current. */
    onFresh(freshAt: number): void;
    /** Called when changes have been taken in that others lack. */
    onNews(): void;
}

/** A peer that may be ahead. */
interface ChangeSourcePeer {
    address: string;
    dataCentre: string;
    frontiers: readonly SectionFrontier[];
}

/**
 * A section whole may hold a megabyte, which takes a node with a third of a processor and 20 Mbit/s a second to send and read.
 * It is no part of the exchange for that reason: there it outlasted the time-out, and each peer asked sent it again.
 */
const fetchTimeoutMilliseconds = 3_000;
const longestAge = 0xffff_ffff;

/** Brings in what peers know of the store and this node does not: one call for each section at a time. */
export class ChangeFetching {
    private readonly options: ChangeFetchingOptions;
    private readonly fetching = new Set<string>();
    /** Monotonic time in milliseconds since which each section is known to be behind. */
    private readonly behindSince = new Map<string, number>();

    private constructor(options: ChangeFetchingOptions) {
        this.options = options;
    }

    /** Creates what fetches nothing before a peer's word. */
    static create(options: ChangeFetchingOptions): ChangeFetching {
        return new ChangeFetching(options);
    }

    /** Takes a peer's word on how far it has followed each section, and fetches what is missing here. */
    noteFrontiers(peer: ChangeSourcePeer): void {
        const { sections, dataCentre, clock, isHub } = this.options;
        const now = clock.getMonotonicTime();
        for (const { section: name, revision } of peer.frontiers) {
            const section = sections.find(candidate => candidate.name === name);
            if (section === undefined || Number(revision) <= section.getFrontier()) {
                continue;
            }
            const behindSince = this.behindSince.get(name) ?? now;
            this.behindSince.set(name, behindSince);
            const isDue = shouldFetch({
                isFetching: this.fetching.has(name),
                isEmpty: section.getFrontier() === 0,
                isNear: peer.dataCentre === dataCentre,
                isHub: isHub(),
                behindMilliseconds: now - behindSince,
            });
            if (isDue) {
                void this.fetch(section, peer);
            }
        }
    }

    /** Answers a peer that lacks changes. */
    answer({ frontier }: FetchRequest, freshAge: number): FetchResponse {
        const section = this.options.sections.find(({ name }) => name === frontier?.section);
        const missing = section?.getChangesSince(Number(frontier?.revision ?? 0));
        if (section === undefined || missing === undefined) {
            return create(FetchResponseSchema, { freshAge });
        }
        const records = missing.records.map(({ key, revision, text }) => ({
            key,
            revision: BigInt(revision),
            isDeleted: text === undefined,
            text: text ?? "",
        }));
        const { frontier: reached, isWhole } = missing;
        const changes = { section: section.name, frontier: BigInt(reached), isWhole, records };
        return create(FetchResponseSchema, { freshAge, changes });
    }

    /** Whether this node's copies reach as far as a peer's. */
    hasAll(frontiers: readonly SectionFrontier[]): boolean {
        return frontiers.every(({ section: name, revision }) => {
            const section = this.options.sections.find(candidate => candidate.name === name);
            return section === undefined || section.getFrontier() >= Number(revision);
        });
    }

    private async fetch(section: RecordSection, peer: ChangeSourcePeer): Promise<void> {
        const { peers, clock } = this.options;
        this.fetching.add(section.name);
        const sentAt = clock.getMonotonicTime();
        const frontier = { section: section.name, revision: BigInt(section.getFrontier()) };
        const response = await peers.call(
            peer.address,
            client => client.fetch({ frontier }, { timeoutMs: fetchTimeoutMilliseconds }),
        );
        this.fetching.delete(section.name);
        if (response === undefined) {
            return;
        }
        this.take(section, response.changes, peer.address);
        this.behindSince.delete(section.name);
        if (response.freshAge < longestAge && this.hasAll(peer.frontiers)) {
            this.options.onFresh(sentAt - response.freshAge);
        }
    }

    private take(section: RecordSection, changes: SectionChanges | undefined, address: string): void {
        const before = section.getFrontier();
        const records = (changes?.records ?? []).map(({ key, revision, isDeleted, text }) => ({
            key,
            revision: Number(revision),
            text: isDeleted ? undefined : text,
        }));
        const frontier = Number(changes?.frontier ?? 0);
        if (changes?.isWhole === true) {
            section.applyListing(records, frontier, "peer");
        }
        else {
            section.applyChanges(records, frontier, "peer");
        }
        if (section.getFrontier() > before) {
            const fields = { section: section.name, address, records: records.length, frontier };
            this.options.log.write(events.routerChangesFetched, fields);
            this.options.onNews();
        }
    }
}
