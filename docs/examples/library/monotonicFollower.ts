/** A value whose version only grows, whatever order its sources offer it in. */
import { Err, MonotonicFollower, Ok } from "../../../src/index.ts";

const follower = MonotonicFollower.create({
    parse: offer => {
        const limit = Number(offer.text);
        return Number.isFinite(limit) ? Ok(limit) : Err(`The text of version ${offer.version} is no number.`);
    },
    onAccepted: limit => console.log(`The limit is ${limit} now.`),
});

console.log(follower.offer({ version: 2, editId: "edit-b", text: "20" }).kind);
console.log(follower.offer({ version: 1, editId: "edit-a", text: "10" }).kind);
console.log(follower.offer({ version: 3, editId: "edit-c", text: "many" }).kind);
console.log(`Version ${follower.getVersion()} stays in force.`);
