import type { RandomSource } from "../randomSource.ts";
import type { Contact } from "./contact.ts";
import type { Member } from "./member.ts";
import type { MembershipView } from "./membershipView.ts";
import { MemberState } from "./memberState.ts";
import { PeerRotation } from "./peerRotation.ts";

/** A seed or a dead member that may be back is contacted once in this many rounds. */
const discoveryIntervalRounds = 2;
/** About this many nodes check a suspected member out of turn. */
const suspectCheckers = 3;

/** Options of a {@link ContactChooser}. */
interface ContactChooserOptions {
    view: MembershipView;
    random: RandomSource;
    /** All peers are contacted in each round if there are at most this many. */
    fullMeshPeers: number;
    /** Peers contacted in each round if there are more. */
    fanOut: number;
    /** Mean time between two pulls of a peer's full view in milliseconds. */
    pullIntervalMilliseconds: number;
}

/** Chooses the contacts of each gossip round. */
export class ContactChooser {
    private readonly options: ContactChooserOptions;
    private readonly view: MembershipView;
    private readonly rotation: PeerRotation;
    private hasPulled = false;
    private nextPullAt = 0;
    private round = 0;

    private constructor(options: ContactChooserOptions) {
        this.options = options;
        this.view = options.view;
        this.rotation = PeerRotation.create(options.random);
    }

    /** Creates a chooser that requests a pull in each round until one has succeeded. */
    static create(options: ContactChooserOptions): ContactChooser {
        return new ContactChooser(options);
    }

    /** Chooses the contacts of the next round: peers and, in some rounds, a seed or a dead member that may be back. */
    chooseRound(now: number): Contact[] {
        const contacts = this.choosePeers();
        const first = contacts[0];
        if (first !== undefined && this.isPullDue(now)) {
            contacts[0] = { ...first, isPull: true };
        }
        const isDiscoveryDue = !this.hasPulled || this.round % discoveryIntervalRounds === 0;
        this.round++;
        const discoveryContact = isDiscoveryDue ? this.chooseDiscoveryContact() : undefined;
        return discoveryContact === undefined ? contacts : [...contacts, discoveryContact];
    }

    /** Chooses the peers of a round. */
    choosePeers(): Contact[] {
        const self = this.view.getSelf().nodeId;
        const peers = new Map<string, Member>();
        for (const member of this.view.getMembers()) {
            if (member.nodeId !== self && member.state !== MemberState.Dead) {
                peers.set(member.nodeId, member);
            }
        }
        const count = peers.size <= this.options.fullMeshPeers ? peers.size : this.options.fanOut;
        const chosen = this.rotation.select([...peers.keys()], count).map(nodeId => peers.get(nodeId));
        return chosen.filter(member => member !== undefined).map(member => toContact(member, false));
    }

    /** Checks a suspect out of turn with a probability that makes a few of all nodes do so. */
    prioritizeSuspect(member: Member): void {
        if (this.options.random() * this.view.getAliveMembers().length < suspectCheckers) {
            this.rotation.prioritize(member.nodeId);
        }
    }

    /** Records that a pull has succeeded. */
    recordPull(): void {
        this.hasPulled = true;
    }

    private chooseDiscoveryContact(): Contact | undefined {
        const seeds = this.view.getSeedAddresses().map(address => ({ address, nodeId: undefined, isPull: true }));
        const deadMembers = this.view.getReconnectionCandidates().map(member => toContact(member, true));
        const candidates = [...seeds, ...deadMembers];
        return candidates[Math.floor(this.options.random() * candidates.length)];
    }

    private isPullDue(now: number): boolean {
        if (this.hasPulled && now < this.nextPullAt) {
            return false;
        }
        this.nextPullAt = now + this.options.pullIntervalMilliseconds * (0.5 + this.options.random());
        return true;
    }
}

function toContact(member: Member, isPull: boolean): Contact {
    return { address: member.peerAddress, nodeId: member.nodeId, isPull };
}
