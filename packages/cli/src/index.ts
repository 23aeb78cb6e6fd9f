/** The command line has no names for other packages but its commands. */
export { commands } from "./commands.js";
