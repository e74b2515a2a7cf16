/** Traffic counter for tests that do not check the traffic between peers. */
import type { PeerTrafficObserver } from "../../telemetry/loadLog.ts";

export const noopTraffic: PeerTrafficObserver = {
    recordSent: () => undefined,
    recordReceived: () => undefined,
};
