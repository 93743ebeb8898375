import type { PeerConnections } from "../connection/peer/peerConnections.ts";
import type { ConfigurationFollower } from "../version/configurationFollower.ts";
import type { ConfigurationWatcher } from "../version/configurationWatcher.ts";
import { reportOffer } from "../version/reportOffer.ts";
import type { Clock, TimerHandle } from "./clock.ts";
import type { EventLog } from "./logging/eventLog.ts";
import { ConfigurationDistributor } from "./membership/configurationDistributor.ts";
import { Gossiper } from "./membership/gossiper.ts";
import type { GossipPayloads } from "./membership/gossipPayloads.ts";
import { isConfigurationWatcher } from "./membership/isConfigurationWatcher.ts";
import type { MembershipView } from "./membership/membershipView.ts";
import type { RendezvousOwners } from "./membership/rendezvousOwners.ts";
import type { ListVms, VmRecord } from "./platform/vmList.ts";
import type { RandomSource } from "./randomSource.ts";

/** Options of a {@link MembershipService}. */
interface MembershipServiceOptions {
    view: MembershipView;
    owners: RendezvousOwners;
    peers: PeerConnections;
    payloads: GossipPayloads;
    follower: ConfigurationFollower;
    watcher: ConfigurationWatcher;
    listVms: ListVms;
    /** Peer addresses from the settings, used to discover the other nodes. */
    seedAddresses: readonly string[];
    clock: Clock;
    random: RandomSource;
    log: EventLog;
    /** Called with each non-empty list of VMs that was read from the platform. */
    onVms(records: readonly VmRecord[]): void;
    /** Called at the start and when a member has changed in more than its configuration version. */
    onMembersChanged(): void;
}

const vmListIntervalMilliseconds = 1_000;
/** Relative jitter of the polling interval. */
const jitter = 0.2;

/**
 * Connects a node to its peers: runs the gossip heartbeats, distributes configurations, polls the platform's list of VMs,
 * and decides if this node watches the store.
 */
export class MembershipService {
    readonly gossiper: Gossiper;
    readonly distributor: ConfigurationDistributor;
    private readonly options: MembershipServiceOptions;
    private timer: TimerHandle | undefined;
    private isStopped = false;

    private constructor(options: MembershipServiceOptions) {
        const { view, peers, clock, random, log, payloads, follower } = options;
        this.options = options;
        this.distributor = ConfigurationDistributor.create({
            view,
            clock,
            random,
            log,
            callAnnounce: (address, request) => peers.announceConfiguration(address, request),
            callGet: (address, request) => peers.getConfiguration(address, request),
            getCurrent: () => follower.getCurrent(),
            offer: offer => reportOffer(log, "peer", offer, follower.offer(offer)),
        });
        this.gossiper = Gossiper.create({
            view,
            payloads,
            clock,
            random,
            log,
            callGossip: (address, request, timeoutFactor) => peers.gossip(address, request, { timeoutFactor }),
            onPeerConfigurationVersion: (version, address) => void this.distributor.pull(version, address),
        });
        view.onChange(change => {
            if (!change.isVersionOnly) {
                this.updateDuties();
            }
        });
    }

    /** Creates the service. It does nothing before {@link MembershipService.start}. */
    static create(options: MembershipServiceOptions): MembershipService {
        return new MembershipService(options);
    }

    /** Starts the heartbeats and the polling of the list of VMs. */
    start(): void {
        this.applySeeds();
        this.updateDuties();
        this.gossiper.start();
        void this.readVms();
    }

    /** Announces to the peers that this node is leaving, so that other nodes take over its duties. */
    async announceLeaving(): Promise<void> {
        await this.gossiper.announceLeaving();
        this.options.watcher.setWatching(false);
    }

    /** Stops all periodic work. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
        this.gossiper.stop();
        this.distributor.stop();
    }

    /** Adds the seed addresses as VMs, until the list of VMs has been read for the first time. */
    private applySeeds(): void {
        const records: VmRecord[] = [];
        for (const address of this.options.seedAddresses) {
            records.push({ vm: `seed-${address}`, state: "live", role: "node", address, dataCentre: "" });
        }
        if (records.length > 0) {
            this.options.view.applyVmList(records, this.options.clock.getMonotonicTime());
        }
    }

    private async readVms(): Promise<void> {
        const { listVms, view, clock, random, onVms } = this.options;
        const vms = await listVms();
        if (this.isStopped) {
            return;
        }
        if (vms.ok && vms.val.length > 0) {
            view.applyVmList(vms.val, clock.getMonotonicTime());
            onVms(vms.val);
        }
        const delayMilliseconds = vmListIntervalMilliseconds * (1 + jitter * (2 * random() - 1));
        this.timer = clock.setTimer(delayMilliseconds, () => void this.readVms());
    }

    private updateDuties(): void {
        const { view, owners, watcher, onMembersChanged } = this.options;
        watcher.setWatching(isConfigurationWatcher(view.getSelf().nodeId, view.getAliveMembers(), owners));
        onMembersChanged();
    }
}
