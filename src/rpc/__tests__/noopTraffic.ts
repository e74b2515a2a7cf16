/** Traffic counter for tests that do not check the traffic between peers. */
import type { PeerTraffic } from "../../telemetry/loadLog.ts";

export const noopTraffic: PeerTraffic = {
    sent: () => undefined,
    received: () => undefined,
};
