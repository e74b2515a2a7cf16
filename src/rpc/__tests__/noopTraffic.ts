/** For specs that do not look at the traffic between peers. */
import type { PeerTraffic } from "../../telemetry/loadLog.ts";

export const noopTraffic: PeerTraffic = {
    sent: () => undefined,
    received: () => undefined,
};
