/** Last filter of the leader: sends the heartbeat answer that the filters before it have filled in. */
import { HealthKind, type HeartbeatChecked, type HeartbeatReply } from "../model/healthMessages.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";

export class HeartbeatReplier implements Filter {
    readonly step = "heartbeat_replier";
    readonly accepts = [
        HealthKind.DirectoryChanged,
        HealthKind.HeartbeatChecked,
        HealthKind.LeaderTicked,
        HealthKind.LeadershipStarted,
    ];

    process(message: Message): readonly Message[] {
        if (message.kind !== HealthKind.HeartbeatChecked) {
            return [];
        }
        const { callId, answer } = message as HeartbeatChecked;
        const reply: HeartbeatReply = { kind: HealthKind.HeartbeatReply, callId, answer };
        return [reply];
    }
}
