/** Entry point of `npm run measure`; each measurement is a subcommand in its own file. */

import { Command } from "commander";
import { addedCommand } from "./added.js";
import { allCommand } from "./all.js";
import { checkpointsCommand } from "./checkpointcost.js";
import { concertCommand } from "./concert.js";
import { configCommand } from "./configcost.js";
import { onceCommand } from "./oncecost.js";
import { cutoffCommand } from "./cutoff.js";
import { faultsCommand } from "./faults.js";
import { policyCommand } from "./policy.js";
import { overloadCommand } from "./policyoverload.js";
import { replayCommand } from "./replaycommand.js";
import { plotCommand } from "./policyplot.js";
import { slopesCommand } from "./slopes.js";
import { storeReturnCommand } from "./storereturn.js";
import { storeStartCommand } from "./storestart.js";
import { recordCommand } from "./tracecommand.js";

const program = new Command("measure");
program.addCommand(addedCommand());
program.addCommand(allCommand());
program.addCommand(concertCommand());
program.addCommand(configCommand());
program.addCommand(cutoffCommand());
program.addCommand(checkpointsCommand());
program.addCommand(onceCommand());
program.addCommand(faultsCommand());
program.addCommand(policyCommand());
program.addCommand(overloadCommand());
program.addCommand(replayCommand());
program.addCommand(storeReturnCommand());
program.addCommand(storeStartCommand());
program.addCommand(plotCommand());
program.addCommand(recordCommand());
program.addCommand(slopesCommand());
await program.parseAsync();
