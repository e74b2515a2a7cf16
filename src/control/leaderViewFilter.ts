/** Tells other pipes who leads. */
import { ControlKind, type ControlLeaderChanged } from "../model/controlMessages.ts";
import type { Member } from "../model/replicatedLog.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { MemberKind, MemberRole, type TermChanged, type TermEvent } from "./memberMessages.ts";

/**
 * Last consumer of `control.term_changed`. A leader is announced on this instance as leading only after an entry of its
 * own term is committed, because before that it may lack entries that its predecessor committed.
 */
export class LeaderViewFilter implements Filter<TermChanged | TermEvent, Message> {
    readonly step = "leader";
    readonly accepts = [MemberKind.TermChanged, MemberKind.LeadershipConfirmed];
    private readonly self: Member;
    private role: MemberRole = MemberRole.Follower;
    private view: ControlLeaderChanged | undefined;

    constructor(self: Member) {
        this.self = self;
    }

    process(message: TermChanged | TermEvent): readonly Message[] {
        if (message.kind === MemberKind.TermChanged) {
            this.role = message.role;
            const leader = message.role === MemberRole.Leader ? undefined : message.leader;
            return this.publish({
                kind: ControlKind.LeaderChanged,
                leading: false,
                term: message.term,
                leaderId: leader?.memberId,
                leaderAddress: leader?.address,
            });
        }
        return this.role === MemberRole.Leader && this.view !== undefined
            ? this.publish({
                ...this.view,
                leading: true,
                leaderId: this.self.memberId,
                leaderAddress: this.self.address,
            })
            : [];
    }

    private publish(view: ControlLeaderChanged): readonly Message[] {
        const previous = this.view;
        this.view = view;
        const unchanged = previous !== undefined
            && previous.leading === view.leading
            && previous.term === view.term
            && previous.leaderId === view.leaderId;
        return unchanged ? [] : [view];
    }
}
