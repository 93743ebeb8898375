/** Two processes tell each other who lives; the owner of a key moves only when its owner goes. */
import { MembershipView, MemberState, RendezvousOwners } from "../../../src/index.ts";

const createView = (nodeId: string) => {
    return MembershipView.create({ nodeId, peerAddress: `127.0.0.1:${nodeId}`, dataCentre: "a", incarnation: 1 });
};
const first = createView("7001");
const second = createView("7002");
const owners = await RendezvousOwners.create();
const getOwner = () => {
    const nodeIds = first.getAliveMembers().map(member => member.nodeId);
    return owners.getOwners("shard-3", nodeIds, 1)[0];
};

first.applyRecords(second.getMembers(), 0);
console.log(`${first.getAliveMembers().length} members; the owner of shard-3 is known: ${getOwner() !== undefined}.`);
first.noteMiss("7002", 1_000);
console.log(`After a miss 7002 is ${first.getMember("7002")?.state}.`);
first.advance(20_000);
console.log(
    `After the suspicion timeout it is ${first.getMember("7002")?.state === MemberState.Dead ? "dead" : "alive"}.`,
);
console.log(`The owner of shard-3 is ${getOwner()}.`);
