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
const firstRetryMilliseconds = 200;

/** Options of a configuration spreader. */
interface ConfigurationSpreaderOptions {
    view: MembershipView;
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    callAnnounce(
        address: string,
        request: AnnounceConfigurationRequest,
    ): Promise<Result<AnnounceConfigurationResponse, PeerError>>;
    callGet(address: string, request: GetConfigurationRequest): Promise<Result<GetConfigurationResponse, PeerError>>;
    /** Gets the configuration in force here, undefined where there is none. */
    getHeld(): ConfigurationText | undefined;
    /** Checks a configuration of a peer and puts it in force if it is higher than the held one. */
    offer(configuration: ConfigurationText): Promise<void> | void;
    /** Peers that are told of a new version. Default 8, all of 9 nodes. */
    fanOut?: number;
}

/**
 * Spreads accepted configurations from node to node: each node that takes in a higher version tells some random peers,
 * and a node that hears of a higher one fetches it. Heartbeats carry the version too and reach those that were missed.
 */
export class ConfigurationSpreader {
    private readonly options: ConfigurationSpreaderOptions;
    private readonly rotation: PeerRotation;
    /** Addresses known to hold a version that is being fetched, by version. */
    private readonly sources = new Map<number, string[]>();
    private readonly pulls = new Map<number, Promise<void>>();
    private readonly retries = new Set<TimerHandle>();
    private announcedVersion = 0;
    private isStopped = false;

    private constructor(options: ConfigurationSpreaderOptions) {
        this.options = options;
        this.rotation = PeerRotation.create(options.random);
    }

    /** Creates a spreader. */
    static create(options: ConfigurationSpreaderOptions): ConfigurationSpreader {
        return new ConfigurationSpreader(options);
    }

    /** Tells peers that a version is in force here. Does nothing for one that was announced, or a lower one. */
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
     * Fetches a version that a peer has, if it is higher than the held one. Calls for one version are joined; further
     * addresses are tried where the first fails.
     * @param version - The version that the peer reported.
     * @param peerAddress - host:port of the peer.
     */
    async pull(version: number, peerAddress: string): Promise<void> {
        if (version <= this.getHeldVersion() || this.isStopped) {
            return;
        }
        const sources = this.sources.get(version) ?? [];
        this.sources.set(version, sources);
        if (!sources.includes(peerAddress)) {
            sources.push(peerAddress);
        }
        const running = this.pulls.get(version) ?? this.fetch(version, sources);
        this.pulls.set(version, running);
        await running;
    }

    /** Answers the AnnounceConfiguration call of a peer; the fetching goes on after the answer. */
    handleAnnounce(request: AnnounceConfigurationRequest): AnnounceConfigurationResponse {
        const sender = this.options.view.getMember(request.fromNodeId);
        if (sender !== undefined) {
            void this.pull(Number(request.version), sender.peerAddress);
        }
        return create(AnnounceConfigurationResponseSchema, { versionInForce: BigInt(this.getHeldVersion()) });
    }

    /** Answers the GetConfiguration call of a peer. */
    handleGet(request: GetConfigurationRequest): GetConfigurationResponse {
        const held = this.options.getHeld();
        if (held === undefined || BigInt(held.version) <= request.knownVersion) {
            return create(GetConfigurationResponseSchema, {});
        }
        return create(GetConfigurationResponseSchema, { ...held, version: BigInt(held.version) });
    }

    /** Stops retries; calls that are under way end by themselves. */
    stop(): void {
        this.isStopped = true;
        for (const retry of this.retries) {
            retry.cancel();
        }
    }

    private async fetch(version: number, sources: readonly string[]): Promise<void> {
        try {
            // More sources may be added while one is asked.
            for (let next = 0; next < sources.length && this.getHeldVersion() < version; next++) {
                await this.fetchFrom(sources[next] as string, version);
            }
        }
        finally {
            this.pulls.delete(version);
            this.sources.delete(version);
        }
    }

    private async fetchFrom(address: string, version: number): Promise<void> {
        const knownVersion = BigInt(this.getHeldVersion());
        const result = await this.options.callGet(address, create(GetConfigurationRequestSchema, { knownVersion }));
        if (result.err) {
            this.options.log.write(events.configurationPullFailed, { version, address, reason: result.val.message });
            return;
        }
        const received = Number(result.val.version);
        if (received <= this.getHeldVersion() || this.isStopped) {
            return;
        }
        await this.options.offer({ version: received, editId: result.val.editId, text: result.val.text });
        if (this.getHeldVersion() >= received) {
            this.options.log.write(events.configurationPulled, { version: received, address });
            this.announce(this.getHeldVersion());
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
        const retry = this.options.clock.setTimer(firstRetryMilliseconds * 2 ** (attempt - 1), () => {
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
        return this.rotation.take(addresses, this.options.fanOut ?? defaultFanOut);
    }

    private getHeldVersion(): number {
        return this.options.getHeld()?.version ?? 0;
    }
}
