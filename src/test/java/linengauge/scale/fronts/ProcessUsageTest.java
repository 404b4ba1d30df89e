package linengauge.scale.fronts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against reading figures from the wrong columns. */
class ProcessUsageTest {
  @Test
  void processorTimeIsUserAndSystemTicks() {
    String stat =
        "4711 (a (b) c) S 1 4711 4711 0 -1 4194560 5000 0 10 0 123 77 0 0 20 0 9 0 1000 0 0";
    assertEquals(2.0, ProcessUsage.processorSeconds(stat), 1e-12);
  }

  @Test
  void memoryIsResidentSetSize() {
    assertEquals(
        60_123L * 1024, ProcessUsage.residentBytes("VmHWM:\t70000 kB\nVmRSS:\t   60123 kB\n"));
    assertThrows(IllegalArgumentException.class, () -> ProcessUsage.residentBytes("State:\tZ\n"));
  }

  @Test
  void currentProcessReportsUsage() throws Exception {
    ProcessUsage usage = ProcessUsage.of(ProcessHandle.current().pid());
    assertTrue(usage.processorSeconds() > 0, usage.toString());
    assertTrue(usage.residentBytes() > 1 << 20, usage.toString());
    assertTrue(usage.descriptors() > 2, usage.toString());
  }
}
