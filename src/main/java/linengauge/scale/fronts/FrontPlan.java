package linengauge.scale.fronts;

import java.nio.file.Path;
import java.util.List;

/**
 * What is measured of one real front.
 *
 * @param runCommand the shell line that starts it
 * @param root the folder to start it in
 * @param connections sizes of the loads of connections
 * @param rates sizes of the loads of messages, a second
 * @param runs of each size
 * @param seconds for which each load is measured
 * @param maxDescriptors that the front is told it may hold
 */
public record FrontPlan(
    String runCommand,
    Path root,
    List<Integer> connections,
    List<Integer> rates,
    int runs,
    int seconds,
    int maxDescriptors) {}
