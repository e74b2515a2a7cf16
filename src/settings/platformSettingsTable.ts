/** Settings that the deploy file gives to a process on the users' platform; all others stand in the platform's file. */
import { Pace } from "../model/pace.ts";
import { ChoiceParser, EndpointParser } from "./settingParsers.ts";
import type { SettingsTable } from "./settingsTable.ts";

export const platformSettingsTable = {
    pace: {
        parser: new ChoiceParser(Object.values(Pace)),
        defaultText: Pace.Off,
        description:
            "Limit of the statements in flight at a database: adaptive follows how it answers, off is its connections.",
    },
    statsd: { parser: new EndpointParser(), description: "Address of the metrics agent (StatsD over UDP)." },
} satisfies SettingsTable;
