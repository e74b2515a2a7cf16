/** Chooses the control member that the next heartbeat goes to. */

/** Follows the leader that an answer named, and otherwise tries the known control members in turn. */
export class HeartbeatTarget {
    private readonly controlAddresses: readonly string[];
    private index = 0;
    private leaderAddress: string | undefined;

    /** @param controlAddresses `host:port` of the control members, at least one */
    constructor(controlAddresses: readonly string[]) {
        this.controlAddresses = controlAddresses;
    }

    get address(): string {
        return this.leaderAddress ?? this.controlAddresses[this.index % this.controlAddresses.length]!;
    }

    /** The member at `peerAddress` leads. */
    confirmLeader(peerAddress: string): void {
        this.leaderAddress = peerAddress;
    }

    /** The member at `peerAddress` did not answer or does not lead; `hint` is the leader that it named. */
    rejectPeer(peerAddress: string, hint: string | undefined): void {
        if (peerAddress !== this.address) {
            return;
        }
        this.leaderAddress = hint === peerAddress ? undefined : hint;
        if (this.leaderAddress === undefined) {
            this.index++;
        }
    }
}
