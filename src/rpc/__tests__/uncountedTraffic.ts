/** For specs that do not look at the traffic between peers. */
import type { PeerTraffic } from "../../telemetry/loadLog.ts";

export const uncountedTraffic: PeerTraffic = {
    sent: () => undefined,
    received: () => undefined,
};
