import type { Member } from "./member.ts";

/** Change of a member in a membership view. */
export interface MemberChange {
    /** Record after the change. */
    member: Member;
    /** Record before the change; undefined if the member was unknown. */
    previous: Member | undefined;
    /** Whether only the configuration version differs. */
    isVersionOnly: boolean;
}
