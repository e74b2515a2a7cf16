/** Choice of the control member that gets the next heartbeat. */

/** Chooses the leader named by an answer, and otherwise the configured control members in turn. */
export class HeartbeatTarget {
    private readonly controlAddresses: readonly string[];
    private memberIndex = 0;
    private leaderAddress: string | undefined;

    /** @param controlAddresses `host:port` of the control members, at least one */
    constructor(controlAddresses: readonly string[]) {
        this.controlAddresses = controlAddresses;
    }

    get address(): string {
        return this.leaderAddress ?? this.controlAddresses[this.memberIndex % this.controlAddresses.length]!;
    }

    /** Records that the member at `peerAddress` is the leader. */
    confirmLeader(peerAddress: string): void {
        this.leaderAddress = peerAddress;
    }

    /** Records that the member at `peerAddress` gave no answer or is not the leader; `hint` is the leader it named. */
    rejectPeer(peerAddress: string, hint: string | undefined): void {
        if (peerAddress !== this.address) {
            return;
        }
        this.leaderAddress = hint === peerAddress ? undefined : hint;
        if (this.leaderAddress === undefined) {
            this.memberIndex++;
        }
    }
}
