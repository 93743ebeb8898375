import { create } from "@bufbuild/protobuf";
import type { PeerError } from "../../connection/peer/peerError.ts";
import type { Result } from "../../result.ts";
import {
    type AnnounceConfigurationRequest,
    AnnounceConfigurationRequestSchema,
    type AnnounceConfigurationResponse,
    AnnounceConfigurationResponseSchema,
    type GetConfigurationRequest,
    GetConfigurationRequestSchema,
    type GetConfigurationResponse,
    GetConfigurationResponseSchema,
} from "../../wire/generated/foxlead/peer/v1/peer_pb.ts";
import type { Clock, TimerHandle } from "../clock.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { RandomSource } from "../randomSource.ts";
import type { ConfigurationText } from "./configurationText.ts";
import type { MembershipView } from "./membershipView.ts";
import { MemberState } from "./memberState.ts";
import { PeerRotation } from "./peerRotation.ts";

const defaultFanOut = 8;
const maximumAttempts = 4;
const firstRetryDelayMilliseconds = 200;

/** Options of a {@link ConfigurationDistributor}. */
interface ConfigurationDistributorOptions {
    view: MembershipView;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    callAnnounce(
        address: string,
        request: AnnounceConfigurationRequest,
    ): Promise<Result<AnnounceConfigurationResponse, PeerError>>;
    callGet(address: string, request: GetConfigurationRequest): Promise<Result<GetConfigurationResponse, PeerError>>;
    /** Gets the node's current configuration, or undefined if there is none. */
    getCurrent(): ConfigurationText | undefined;
    /** Validates a peer's configuration and applies it if its version is higher than the current one. */
    offer(configuration: ConfigurationText): Promise<void> | void;
    /** Peers that a new version is announced to. Default 8, which is all peers of 9 nodes. */
    fanOut?: number;
}

/**
 * Distributes configurations from node to node by gossip. A node that applies a higher version announces it to random
 * peers, and a node that learns of a higher version fetches it. Heartbeats also carry the version and reach the nodes
 * that the announcements missed.
 */
export class ConfigurationDistributor {
    private readonly options: ConfigurationDistributorOptions;
    private readonly rotation: PeerRotation;
    /** Addresses to fetch a version from, by version. */
    private readonly sources = new Map<number, string[]>();
    private readonly pulls = new Map<number, Promise<void>>();
    private readonly retries = new Set<TimerHandle>();
    private announcedVersion = 0;
    private isStopped = false;

    private constructor(options: ConfigurationDistributorOptions) {
        this.options = options;
        this.rotation = PeerRotation.create(options.random);
    }

    /** Creates an instance that does nothing until it is called. */
    static create(options: ConfigurationDistributorOptions): ConfigurationDistributor {
        return new ConfigurationDistributor(options);
    }

    /** Announces a version of this node to peers. Does nothing if this or a higher version was announced. */
    announce(version: number): void {
        if (version <= this.announcedVersion || this.isStopped) {
            return;
        }
        this.announcedVersion = version;
        for (const address of this.choosePeers()) {
            void this.announceTo(address, version, 1);
        }
    }

    /**
     * Fetches a peer's version if it is higher than the current one. Concurrent calls for one version share one fetch,
     * which tries the next address if one fails.
     * @param version - Version that the peer reported.
     * @param peerAddress - host:port of the peer.
     */
    async pull(version: number, peerAddress: string): Promise<void> {
        if (version <= this.getCurrentVersion() || this.isStopped) {
            return;
        }
        const sources = this.sources.get(version) ?? [];
        this.sources.set(version, sources);
        if (!sources.includes(peerAddress)) {
            sources.push(peerAddress);
        }
        const pull = this.pulls.get(version) ?? this.fetch(version, sources);
        this.pulls.set(version, pull);
        await pull;
    }

    /** Handles a peer's AnnounceConfiguration call. The version is fetched after the response. */
    handleAnnounce(request: AnnounceConfigurationRequest): AnnounceConfigurationResponse {
        const sender = this.options.view.getMember(request.fromNodeId);
        if (sender !== undefined) {
            void this.pull(Number(request.version), sender.peerAddress);
        }
        return create(AnnounceConfigurationResponseSchema, { versionInForce: BigInt(this.getCurrentVersion()) });
    }

    /** Handles a peer's GetConfiguration call. */
    handleGet(request: GetConfigurationRequest): GetConfigurationResponse {
        const current = this.options.getCurrent();
        if (current === undefined || BigInt(current.version) <= request.knownVersion) {
            return create(GetConfigurationResponseSchema, {});
        }
        return create(GetConfigurationResponseSchema, { ...current, version: BigInt(current.version) });
    }

    /** Cancels retries. Calls in flight end by themselves. */
    stop(): void {
        this.isStopped = true;
        for (const retry of this.retries) {
            retry.cancel();
        }
    }

    private async fetch(version: number, sources: readonly string[]): Promise<void> {
        try {
            // More sources may be added during a call.
            for (let next = 0; next < sources.length && this.getCurrentVersion() < version; next++) {
                await this.fetchFrom(sources[next] as string, version);
            }
        }
        finally {
            this.pulls.delete(version);
            this.sources.delete(version);
        }
    }

    private async fetchFrom(address: string, version: number): Promise<void> {
        const knownVersion = BigInt(this.getCurrentVersion());
        const result = await this.options.callGet(address, create(GetConfigurationRequestSchema, { knownVersion }));
        if (result.err) {
            this.options.log.write(events.configurationPullFailed, { version, address, reason: result.val.message });
            return;
        }
        const received = Number(result.val.version);
        if (received <= this.getCurrentVersion() || this.isStopped) {
            return;
        }
        await this.options.offer({ version: received, editId: result.val.editId, text: result.val.text });
        if (this.getCurrentVersion() >= received) {
            this.options.log.write(events.configurationPulled, { version: received, address });
            this.announce(this.getCurrentVersion());
        }
        else {
            this.options.log.write(events.configurationOfferRefused, { version: received, address });
        }
    }

    private async announceTo(address: string, version: number, attempt: number): Promise<void> {
        const fromNodeId = this.options.view.getSelf().nodeId;
        const request = create(AnnounceConfigurationRequestSchema, { version: BigInt(version), fromNodeId });
        const result = await this.options.callAnnounce(address, request);
        if (result.ok) {
            await this.pull(Number(result.val.versionInForce), address);
            return;
        }
        if (attempt >= maximumAttempts || version < this.announcedVersion || this.isStopped) {
            return;
        }
        const retry = this.options.clock.setTimer(firstRetryDelayMilliseconds * 2 ** (attempt - 1), () => {
            this.retries.delete(retry);
            void this.announceTo(address, version, attempt + 1);
        });
        this.retries.add(retry);
    }

    private choosePeers(): string[] {
        const self = this.options.view.getSelf().nodeId;
        const addresses = this.options.view.getMembers()
            .filter(member => member.nodeId !== self && member.state !== MemberState.Dead)
            .map(member => member.peerAddress);
        return this.rotation.select(addresses, this.options.fanOut ?? defaultFanOut);
    }

    private getCurrentVersion(): number {
        return this.options.getCurrent()?.version ?? 0;
    }
}
