import { PeerConnections } from "../../../src/connection/peer/peerConnections.ts";
import { PeerServer } from "../../../src/connection/peer/peerServer.ts";
import { ConfigurationDistributor } from "../../../src/process/membership/configurationDistributor.ts";
import type { ConfigurationText } from "../../../src/process/membership/configurationText.ts";
import { Gossiper } from "../../../src/process/membership/gossiper.ts";
import { MembershipView } from "../../../src/process/membership/membershipView.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import { LoopbackProxy } from "../../../standins/network/loopbackProxy.ts";

const secret = "test-secret";
const callMilliseconds = 250;
const log = { write: () => undefined };

/** Membership of a node over real loopback connections. All calls to the node pass through its proxy. */
export class TestNode {
    readonly view: MembershipView;
    readonly proxy: LoopbackProxy;
    readonly gossiper: Gossiper;
    readonly distributor: ConfigurationDistributor;
    readonly offered: number[] = [];
    configuration: ConfigurationText | undefined;
    private readonly connections: PeerConnections;
    private server: PeerServer | undefined;

    private constructor(nodeId: string, proxy: LoopbackProxy) {
        this.proxy = proxy;
        this.connections = PeerConnections.create({ secret, log, timeoutMilliseconds: callMilliseconds });
        this.view = MembershipView.create({
            nodeId,
            peerAddress: proxy.getAddress(),
            dataCentre: "a",
            incarnation: 1,
            suspicionTimeoutMilliseconds: 1_000,
        });
        const { view, connections } = this;
        const common = { view, log, clock: systemClock, random: Math.random };
        this.distributor = ConfigurationDistributor.create({
            ...common,
            fanOut: 2,
            callAnnounce: (address, request) => connections.announceConfiguration(address, request),
            callGet: (address, request) => connections.getConfiguration(address, request),
            getCurrent: () => this.configuration,
            offer: configuration => this.accept(configuration),
        });
        this.gossiper = Gossiper.create({
            ...common,
            intervalMilliseconds: 50,
            maximumTurnMilliseconds: callMilliseconds / 10,
            payloads: {
                collectEndpointRecords: () => [],
                applyEndpointRecords: () => undefined,
                collectDemandRecords: () => [],
                applyDemandRecords: () => undefined,
            },
            callGossip: (address, request, timeoutFactor) => connections.gossip(address, request, { timeoutFactor }),
            onPeerConfigurationVersion: (version, address) => void this.distributor.pull(version, address),
        });
    }

    static async create(nodeId: string): Promise<TestNode> {
        let address = "";
        const node = new TestNode(nodeId, await LoopbackProxy.create(() => address));
        node.server = await PeerServer.create({
            address: "127.0.0.1:0",
            secret,
            log,
            handlers: {
                gossip: async request => node.gossiper.handleGossip(request),
                announceConfiguration: async request => node.distributor.handleAnnounce(request),
                getConfiguration: async request => node.distributor.handleGet(request),
                claim: async () => ({}),
                getKeptAnswer: async () => ({}),
                takeKeptAnswers: async () => ({}),
            },
        });
        address = node.server.getAddress();
        return node;
    }

    accept(configuration: ConfigurationText): void {
        this.offered.push(configuration.version);
        if (configuration.version > (this.configuration?.version ?? 0)) {
            this.configuration = configuration;
            this.view.setConfigurationVersion(configuration.version);
        }
    }

    getStateOf(other: TestNode): string | undefined {
        return this.view.getMember(other.view.getSelf().nodeId)?.state;
    }

    async close(): Promise<void> {
        this.gossiper.stop();
        this.distributor.stop();
        this.connections.close();
        await this.proxy.close();
        await this.server?.close(0);
    }
}
