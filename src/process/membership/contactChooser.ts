import type { RandomSource } from "../randomSource.ts";
import type { Contact } from "./contact.ts";
import type { Member } from "./member.ts";
import type { MembershipView } from "./membershipView.ts";
import { MemberState } from "./memberState.ts";
import { PeerRotation } from "./peerRotation.ts";

/** Seeds and members that may be back are tried once in so many rounds. */
const outsiderRounds = 2;
/** A suspected member is checked out of turn by about this many nodes. */
const urgentCheckers = 3;

/** Options of a contact chooser. */
interface ContactChooserOptions {
    view: MembershipView;
    random: RandomSource;
    /** Up to this many peers, all are contacted in each round. */
    fullMeshPeers: number;
    /** Peers contacted in a round where there are more. */
    fanOut: number;
    /** Mean time between two pulls of a peer's whole view in milliseconds. */
    pullIntervalMilliseconds: number;
}

/** Chooses whom to contact in a round. */
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

    /** Creates a chooser that asks for a pull until one has succeeded. */
    static create(options: ContactChooserOptions): ContactChooser {
        return new ContactChooser(options);
    }

    /** Chooses the contacts of the next round: peers, and at times one that may be up without being a live member. */
    chooseRound(now: number): Contact[] {
        const contacts = this.choosePeers();
        const first = contacts[0];
        if (first !== undefined && this.isPullDue(now)) {
            contacts[0] = { ...first, isPull: true };
        }
        const isOutsiderDue = !this.hasPulled || this.round % outsiderRounds === 0;
        this.round++;
        const outsider = isOutsiderDue ? this.chooseOutsider() : undefined;
        return outsider === undefined ? contacts : [...contacts, outsider];
    }

    /** Chooses the peers of one round. */
    choosePeers(): Contact[] {
        const self = this.view.getSelf().nodeId;
        const peers = new Map<string, Member>();
        for (const member of this.view.getMembers()) {
            if (member.nodeId !== self && member.state !== MemberState.Dead) {
                peers.set(member.nodeId, member);
            }
        }
        const count = peers.size <= this.options.fullMeshPeers ? peers.size : this.options.fanOut;
        const chosen = this.rotation.take([...peers.keys()], count).map(nodeId => peers.get(nodeId));
        return chosen.filter(member => member !== undefined).map(member => toContact(member, false));
    }

    /** Checks a suspect out of turn, with such a chance that a few of all nodes do. */
    noteSuspect(member: Member): void {
        if (this.options.random() * this.view.getAliveMembers().length < urgentCheckers) {
            this.rotation.prefer(member.nodeId);
        }
    }

    /** Notes that a pull has succeeded. */
    notePulled(): void {
        this.hasPulled = true;
    }

    private chooseOutsider(): Contact | undefined {
        const seeds = this.view.getSeedAddresses().map(address => ({ address, nodeId: undefined, isPull: true }));
        const back = this.view.getReconnectionCandidates().map(member => toContact(member, true));
        const outsiders = [...seeds, ...back];
        return outsiders[Math.floor(this.options.random() * outsiders.length)];
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
