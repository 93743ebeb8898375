import type { Member } from "./member.ts";

/** A change of a membership view. */
export interface MemberChange {
    /** The record as it stands now. */
    member: Member;
    /** The record before; undefined where the member was unknown. */
    previous: Member | undefined;
    /** Whether nothing but the configuration version differs. */
    isVersionOnly: boolean;
}
