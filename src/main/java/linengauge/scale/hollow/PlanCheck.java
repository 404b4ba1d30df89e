package linengauge.scale.hollow;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** Whether a plan makes sense and fits this machine, before anything of it is started. */
final class PlanCheck {
  private static final int MOST_PROCESSES = 300;
  private static final int FIRST_PORT = 1024;

  /** Linux gives ports from here on to sockets that ask for any. */
  private static final int EPHEMERAL_PORTS = 32768;

  /** What a process takes beside its heap. */
  private static final long BESIDE_HEAP_MB = 100;

  /** Descriptors of a process beside its fronts' and connections'. */
  private static final long USUAL_DESCRIPTORS = 100;

  /** Of a follower: a selector with its two and a connection. */
  private static final long FOLLOWER_DESCRIPTORS = 4;

  private PlanCheck() {}

  static void check(HollowPlan plan) throws HollowPlanRefused {
    HollowPlan.Fleet fleet = plan.fleet();
    boolean sensible =
        fleet.processes() >= 1
            && fleet.fronts() >= fleet.processes()
            && fleet.zones() >= fleet.regions()
            && fleet.regions() >= 1
            && fleet.voters() >= 1
            && fleet.voters() <= fleet.controlMachines()
            && fleet.controlMachines() <= HollowPorts.FIRST_FRONT
            && !plan.methods().isEmpty();
    if (!sensible) {
      throw new HollowPlanRefused("a fleet that makes no sense: " + fleet);
    }
    int firstPort = plan.machine().firstPort();
    int ports = new HollowPorts(fleet, firstPort).count();
    if (firstPort < FIRST_PORT || firstPort + ports > EPHEMERAL_PORTS) {
      throw new HollowPlanRefused(
          ports + " ports from " + firstPort + " on do not lie within 1024 to 32767");
    }
    processes(plan);
    memory(plan);
    descriptors(plan);
  }

  private static int count(HollowPlan plan) {
    int controls =
        plan.methods().contains(HollowPlan.Method.LEASE) ? plan.fleet().controlMachines() : 0;
    return plan.methods().size() * plan.fleet().processes() + controls;
  }

  private static void processes(HollowPlan plan) throws HollowPlanRefused {
    if (count(plan) > MOST_PROCESSES) {
      throw new HollowPlanRefused(count(plan) + " processes, more than " + MOST_PROCESSES);
    }
  }

  private static void memory(HollowPlan plan) throws HollowPlanRefused {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long halfMb = system.getTotalMemorySize() / 2 / 1024 / 1024;
    long wantedMb = count(plan) * (plan.heapMb() + BESIDE_HEAP_MB);
    if (wantedMb > halfMb) {
      throw new HollowPlanRefused(
          wantedMb + " MB, more than half of the machine's memory (" + halfMb + " MB)");
    }
  }

  private static void descriptors(HollowPlan plan) throws HollowPlanRefused {
    HollowPlan.Fleet fleet = plan.fleet();
    long most = mostDescriptors();
    long followers = plan.followersEach() == 0 ? 0 : fleet.fronts() / plan.followersEach() + 1;
    long ofFronts = fleet.fronts() / fleet.processes() + 1;
    long ofChild =
        ofFronts + followers / fleet.processes() * FOLLOWER_DESCRIPTORS + USUAL_DESCRIPTORS;
    long ofControl = followers + USUAL_DESCRIPTORS;
    long links = (long) fleet.voters() * (fleet.controlMachines() + fleet.regions());
    long ofRun = 2 * followers + 3 * links + 3L * count(plan) + USUAL_DESCRIPTORS;
    long wanted = Math.max(ofRun, Math.max(ofChild, ofControl));
    if (wanted > most) {
      throw new HollowPlanRefused(
          wanted + " open files in one process, more than its limit of " + most);
    }
  }

  private static long mostDescriptors() throws HollowPlanRefused {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/self/limits"))) {
        if (line.startsWith("Max open files")) {
          String soft = line.substring("Max open files".length()).trim().split("\\s+")[0];
          return soft.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(soft);
        }
      }
    } catch (IOException e) {
      throw new HollowPlanRefused("the limit of open files cannot be read: " + e.getMessage());
    }
    throw new HollowPlanRefused("the limit of open files cannot be read");
  }
}
